//! Callers whose requests never end: each costs a bounded number of bytes, and its connection is
//! closed.

use crate::support::{Bed, HOST, KEY, PLAIN, plain, until};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use trouttrack_http::OVERHEAD_LIMIT;
use trouttrack_platform_standin::Behaviour;

/// Size of the kernel's send buffer, so that few bytes are written and not read.
const SEND_BUFFER: usize = 16 << 10;
/// Bytes that the kernel's buffers hold, beside what the VM has read.
const KERNEL_BUFFERS: u64 = 6 << 20;
/// Bytes that a request without end may cost: what it may take besides its body, and as much read
/// ahead several times over. The limits of the configuration are far lower.
const MAX_WRITTEN: u64 = 8 * OVERHEAD_LIMIT as u64 + KERNEL_BUFFERS;
/// Far longer than reading the bound takes, and shorter than any timeout of a sound connection.
const PATIENCE: Duration = Duration::from_secs(4);

/// What a caller writes once, and then repeats until its connection is closed.
struct Endless {
    name: &'static str,
    once: String,
    repeated: &'static str,
}

fn endless(name: &'static str, once: &str, repeated: &'static str) -> Endless {
    Endless {
        name,
        once: once.to_owned(),
        repeated,
    }
}

/// Requests whose head does not end.
fn heads() -> Vec<Endless> {
    vec![
        endless("blank lines", "", "\r\n"),
        endless("a path", "GET /many/", "x"),
        endless("headers", "GET /many/x HTTP/1.1\r\n", "x: y\r\n"),
        endless("a header's value", "GET /many/x HTTP/1.1\r\nx: ", "y"),
    ]
}

/// Requests to a path whose body does not end.
fn bodies(path: &str) -> Vec<Endless> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
         X-Attempt-Id: r1\r\nX-Deadline-Ms: 60000\r\n"
    );
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let length = format!("{head}Content-Length: 9000000000000\r\n\r\n");
    vec![
        endless("a body of a length", &length, "body"),
        endless("chunks", &chunked, "4\r\nbody\r\n"),
        endless("a chunk", &format!("{chunked}fffffffffff\r\n"), "body"),
        endless("zeros of a chunk's size", &chunked, "0"),
        endless(
            "white space after a chunk's size",
            &format!("{chunked}4"),
            " ",
        ),
        endless("a chunk's extension", &format!("{chunked}4;x="), "y"),
        endless("trailers", &format!("{chunked}0\r\n"), "x: y\r\n"),
    ]
}

/// Writes on a connection until it is closed, and adds up the bytes written. Returns what came
/// back.
fn write_without_end(mut stream: TcpStream, req: &Endless, written: &AtomicU64) -> String {
    let socket = SockRef::from(&stream);
    socket.set_send_buffer_size(SEND_BUFFER).expect("an option");
    let mut reading = stream.try_clone().expect("a second handle");
    let answer = std::thread::spawn(move || {
        let mut answer = Vec::new();
        // A reset after the answer counts as a close.
        drop(reading.read_to_end(&mut answer));
        String::from_utf8_lossy(&answer).into_owned()
    });
    let block = req.repeated.repeat(SEND_BUFFER / req.repeated.len());
    let mut left = match req.once.is_empty() {
        true => block.as_bytes(),
        false => req.once.as_bytes(),
    };
    while let Ok(n) = stream.write(left) {
        written.fetch_add(n as u64, Ordering::Relaxed);
        left = &left[n..];
        if left.is_empty() {
            left = block.as_bytes();
        }
    }
    answer.join().expect("no panic")
}

/// Sends a request without end from a thread of its own. Fails unless its connection is closed.
async fn closed_early(addr: SocketAddr, req: Endless) -> String {
    let name = req.name;
    let written = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&written);
    let (tx, rx) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let stream = TcpStream::connect(addr).expect("a connection");
        drop(tx.send(write_without_end(stream, &req, &counted)));
    });
    let answer = tokio::time::timeout(PATIENCE, rx).await;
    let bytes = written.load(Ordering::Relaxed);
    let answer = answer.unwrap_or_else(|_| panic!("{name}: not closed, {bytes} bytes"));
    assert!(
        bytes <= MAX_WRITTEN,
        "{name}: {bytes} of {MAX_WRITTEN} bytes"
    );
    answer.expect("no panic")
}

/// Guards against a head of a request that is read without end.
#[actix_rt::test]
async fn request_head_without_end_costs_bounded_bytes() {
    let bed = Bed::new(PLAIN).await;
    for req in heads() {
        let name = req.name;
        let answer = closed_early(bed.addr(), req).await;
        let is_refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(is_refused, "{name}: {answer}");
    }
    assert!(bed.upstreams.iter().all(|u| u.arrivals().is_empty()));
    assert_eq!(bed.send(&plain("r2", "many")).await.status, 200);
}

/// Guards against the framing of a request's body that is read without end.
#[actix_rt::test]
async fn request_body_without_end_costs_bounded_bytes() {
    let bed = Bed::new(PLAIN).await;
    for req in bodies("/many/x") {
        let name = req.name;
        let answer = closed_early(bed.addr(), req).await;
        let is_refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(is_refused, "{name}: {answer}");
        until("the request is forgotten", || {
            bed.front.front.lifecycle.in_flight() == 0
        })
        .await;
    }
    assert!(bed.upstreams.iter().all(|u| u.arrivals().is_empty()));
    assert_eq!(bed.send(&plain("r2", "many")).await.status, 200);
}

/// Guards against a body that is read on without end after its request was refused.
#[actix_rt::test]
async fn body_without_end_of_a_refused_request_costs_bounded_bytes() {
    let bed = Bed::new(PLAIN).await;
    for req in bodies("/none/x") {
        let name = req.name;
        let answer = closed_early(bed.addr(), req).await;
        assert!(answer.starts_with("HTTP/1.1 404"), "{name}: {answer}");
    }
    assert_eq!(bed.send(&plain("r2", "many")).await.status, 200);
}

/// Guards against a request without end to the port for other VMs.
#[actix_rt::test]
async fn request_without_end_to_the_port_for_peers_costs_bounded_bytes() {
    let bed = Bed::new(PLAIN).await;
    let peers = bed.front.front.peer_addr.get().expect("an address");
    for req in heads().into_iter().chain(bodies("/none/x")) {
        closed_early(*peers, req).await;
    }
    assert_eq!(bed.send(&plain("r2", "many")).await.status, 200);
}

/// Guards against a caller that sends request after request while its first is served: they are
/// read ahead, and the connection asks for more without a pause.
#[actix_rt::test]
async fn requests_without_end_beside_a_request_are_not_read() {
    let bed = Bed::new(PLAIN).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::Silent));
    let first = String::from_utf8(plain("r1", "once").to_bytes()).expect("text");
    let written = Arc::new(AtomicU64::new(0));
    let (addr, counted) = (bed.addr(), Arc::clone(&written));
    std::thread::spawn(move || {
        let stream = TcpStream::connect(addr).expect("a connection");
        let repeated = "GET /none/x HTTP/1.1\r\nHost: desk.example\r\n\r\n";
        write_without_end(stream, &endless("requests", &first, repeated), &counted);
    });
    until("an upstream has the request", || bed.working().is_some()).await;
    let bytes = || written.load(Ordering::Relaxed);
    let mut before = 0;
    while bytes() > before {
        before = bytes();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let (began, spent) = (Instant::now(), processor_time());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (elapsed, spent) = (began.elapsed(), processor_time() - spent);
    assert!(bed.working().is_some());
    assert!(bytes() <= MAX_WRITTEN, "{} bytes", bytes());
    // All that is left to do is to wait.
    assert!(spent < elapsed / 2, "{spent:?} of {elapsed:?}");
}

/// Processor time of this thread, on which the VM runs.
fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").expect("statistics");
    let ns = stat.split(' ').next().expect("a number").parse();
    Duration::from_nanos(ns.expect("a number"))
}
