//! A client with a kept channel.

use crate::http::{Message, Reader};
use crate::record::Record;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a client saw of its request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub sent_at: Duration,
    /// The status, if a head came.
    pub status: Option<u16>,
    pub sealed: bool,
    /// The body as far as it came.
    pub body: String,
    /// Whether the answer came to its end.
    pub whole: bool,
    pub ended_at: Duration,
}

pub struct Client {
    reader: Reader,
    record: Record,
}

/// A request of a small deployment.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub deadline_ms: u64,
    /// Tokens in and out, of a request to an engine.
    pub tokens: Option<(u32, u32)>,
}

impl Client {
    pub fn connect(addr: SocketAddr, record: &Record) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        Ok(Self {
            reader: Reader::new(stream),
            record: record.clone(),
        })
    }

    pub fn ask(&mut self, ask: &Ask) -> Seen {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n\
             Authorization: Bearer {}\r\n",
            ask.method, ask.path, ask.id, ask.deadline_ms, ask.key
        );
        if let Some((prompt, most)) = ask.tokens {
            head.push_str(&format!(
                "X-Model: m\r\nX-Token-Counts: {prompt},{most}\r\nX-Length-Hint: {most}\r\n\
                 X-Prompt-Prefix: 5c1e07a2:{},{}:{}\r\n",
                prompt / 2,
                ask.id,
                prompt - prompt / 2
            ));
        }
        if ask.method == "POST" {
            head.push_str("Content-Length: 5\r\n\r\nhello");
        } else {
            head.push_str("\r\n");
        }
        let sent_at = self.record.now();
        self.record.line(&format!("client sends {}", ask.id));
        let patience = Duration::from_millis(ask.deadline_ms + 1000);
        let _ = self.reader.stream.set_read_timeout(Some(patience));
        let mut seen = Seen {
            id: ask.id.clone(),
            sent_at,
            status: None,
            sealed: false,
            body: String::new(),
            whole: false,
            ended_at: sent_at,
        };
        let sent = self.reader.stream.write_all(head.as_bytes());
        if sent.is_ok() {
            self.read(&mut seen);
        }
        seen.ended_at = self.record.now();
        let status = seen.status.map_or("none".to_owned(), |s| s.to_string());
        self.record.line(&format!(
            "client: {} ended, status {status}, whole {}, sealed {}, {} bytes",
            seen.id,
            seen.whole,
            seen.sealed,
            seen.body.len()
        ));
        seen
    }

    fn read(&mut self, seen: &mut Seen) {
        let mut message: Message = match self.reader.head() {
            Ok(Some(head)) => head,
            _ => return,
        };
        seen.status = Some(message.status());
        seen.sealed = message.header("X-Response-Seal").is_some();
        seen.whole = self.reader.body(&mut message).is_ok();
        seen.body = String::from_utf8_lossy(&message.body).into_owned();
    }
}
