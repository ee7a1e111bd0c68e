//! A worker: runs requests that name it, and keeps books of them.

use crate::http::{Message, Reader, answer};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How a worker answers.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// A whole body after this time.
    Call { work: Duration },
    /// Events with these pauses; the first one after `first`.
    Stream { first: Duration, gap: Duration },
}

/// A run in the books.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began: Duration,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    answer: Answer,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Worker {
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        answer: Answer,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a worker");
        let worker = Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            answer,
            runs: Arc::default(),
            record: record.clone(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    /// The entry that the worker keeps in the store.
    pub fn entry(&self, state: &str, cold_left_ms: u64, call_seq: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":{cold_left_ms},\
             \"call_seq\":{call_seq}}}",
            self.service, self.addr, self.zone, self.slots
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(req)) = reader.message() {
            if self.reply(&mut reader.stream, &req).is_err() {
                return;
            }
        }
    }

    fn reply(&self, stream: &mut TcpStream, req: &Message) -> std::io::Result<()> {
        let named = |name: &str| req.header(name).unwrap_or_default().to_owned();
        let id = named("X-Attempt-Id");
        match req.target() {
            "/health" => {
                let headers = [("X-Instance-Id", self.id.clone())];
                return answer(stream, 200, &headers, b"");
            }
            "/report" => {
                let body = format!(
                    "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                     \"adapters\":[]}}],\"busy\":false,\"call_seq\":1,\"queued\":0,\"active\":0,\
                     \"kv_used\":0,\"kv_total\":34423,\"handles\":0,\"state\":\"ready\",\
                     \"next_page\":0,\"runs\":[]}}"
                );
                let headers = [("Content-Type", "application/json".to_owned())];
                return answer(stream, 200, &headers, body.as_bytes());
            }
            _ => {}
        }
        if named("X-Expect-Instance") != self.id {
            let headers = [
                ("X-Attempt-Id", id),
                ("X-Instance-Id", self.id.clone()),
                ("X-Not-Executed", "1".to_owned()),
            ];
            return answer(stream, 421, &headers, b"");
        }
        let began = self.record.now();
        self.runs.lock().unwrap().push(Run {
            id: id.clone(),
            began,
        });
        self.record.line(&format!("worker {} runs {id}", self.id));
        let headers = [
            ("X-Attempt-Id", id.clone()),
            ("X-Response-Seal", format!("seal.{}.{id}", self.id)),
        ];
        let outcome = match self.answer {
            Answer::Call { work } => {
                thread::sleep(work);
                let body = format!("answer of {} to {id}", self.id);
                answer(stream, 200, &headers, body.as_bytes())
            }
            Answer::Stream { first, gap } => {
                // Long drafts begin at once: only short requests wait for a crowded engine here.
                let first = match req.target().starts_with("/draft/") {
                    true => Duration::from_millis(300),
                    false => first,
                };
                let tokens = named("X-Token-Counts");
                let most = tokens.split(',').nth(1).and_then(|n| n.trim().parse().ok());
                let events = most.unwrap_or(16_u32).div_ceil(4);
                self.stream(stream, &headers, events, first, gap)
            }
        };
        let how = if outcome.is_ok() {
            "ended"
        } else {
            "was cut off"
        };
        self.record
            .line(&format!("worker {}: the run of {id} {how}", self.id));
        outcome
    }

    fn stream(
        &self,
        stream: &mut TcpStream,
        headers: &[(&str, String)],
        events: u32,
        first: Duration,
        gap: Duration,
    ) -> std::io::Result<()> {
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        thread::sleep(first);
        stream.write_all(head.as_bytes())?;
        for event in 1..=events {
            if event > 1 {
                thread::sleep(gap);
            }
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
