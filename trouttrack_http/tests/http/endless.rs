//! Answers that never end: each costs a bounded number of bytes, and its connection is closed.

use bytes::Bytes;
use http::Request;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use trouttrack_http::{
    BodyError, Client, Connect, Connection, DeadConnections, OVERHEAD_LIMIT, Path, Reuse,
    SendError, SendErrorKind, TunnelError, charge, tunnel,
};

/// Size of the kernel's buffers at both ends, so that few bytes are written and not read.
const KERNEL_BUFFER: usize = 16 << 10;
/// Read-ahead of the client.
const READ_BUFFER: usize = 16 << 10;
/// Limit of the bodies.
const BODY_LIMIT: usize = 32 << 10;
/// Bytes that an answer without end may cost: what it may take besides its body, a body, and what
/// the buffers of the client and of the kernel hold. The kernel doubles its own.
const MAX_WRITTEN: u64 = (OVERHEAD_LIMIT + BODY_LIMIT + 2 * READ_BUFFER + 6 * KERNEL_BUFFER) as u64;
/// Far longer than reading the bound takes.
const PATIENCE: Duration = Duration::from_secs(5);

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// What a peer writes once, and then repeats until the connection is closed.
#[derive(Clone, Copy, Debug)]
struct Endless {
    name: &'static str,
    once: &'static str,
    repeated: &'static str,
}

const fn endless(name: &'static str, once: &'static str, repeated: &'static str) -> Endless {
    Endless {
        name,
        once,
        repeated,
    }
}

/// Answers whose head does not end.
const HEADS: [Endless; 6] = [
    endless("informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    endless(
        "informational heads with headers",
        "",
        "HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\n",
    ),
    endless("a reason phrase", "HTTP/1.1 200 ", "OK "),
    endless("headers", "HTTP/1.1 200 OK\r\n", "x: y\r\n"),
    endless("a header's value", "HTTP/1.1 200 OK\r\nx: ", "y"),
    endless("blank lines", "", "\r\n"),
];

/// Answers whose body does not end.
const BODIES: [Endless; 9] = [
    endless(
        "a body of a length",
        "HTTP/1.1 200 OK\r\ncontent-length: 9000000000000\r\n\r\n",
        "body",
    ),
    endless("a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "body"),
    endless("chunks", CHUNKED, "4\r\nbody\r\n"),
    endless(
        "a chunk",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffffff\r\n",
        "body",
    ),
    endless("zeros of a chunk's size", CHUNKED, "0"),
    endless(
        "white space after a chunk's size",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4",
        " ",
    ),
    endless(
        "a chunk's extension",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;x=",
        "y",
    ),
    endless(
        "trailers",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "x: y\r\n",
    ),
    endless(
        "padded sizes of small chunks",
        CHUNKED,
        "000000000000000000000000000000000000000000000000000000000000000000000000000000001\r\nb\r\n",
    ),
];

/// Starts a peer that answers each request without end, and counts the bytes that it has written.
fn peer(answer: Endless) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let written = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&written);
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let written = Arc::clone(&counted);
            std::thread::spawn(move || write_without_end(stream, answer, &written));
        }
    });
    (addr, written)
}

fn write_without_end(mut stream: std::net::TcpStream, answer: Endless, written: &AtomicU64) {
    let mut req = [0; 4096];
    if matches!(stream.read(&mut req), Ok(read) if read > 0) {
        write_repeatedly(stream, answer, written);
    }
}

fn write_repeatedly(mut stream: std::net::TcpStream, answer: Endless, written: &AtomicU64) {
    let socket = SockRef::from(&stream);
    socket
        .set_send_buffer_size(KERNEL_BUFFER)
        .expect("an option");
    let block = answer
        .repeated
        .repeat(KERNEL_BUFFER / answer.repeated.len());
    let mut left = answer.once.as_bytes();
    if left.is_empty() {
        left = block.as_bytes();
    }
    while let Ok(n) = stream.write(left) {
        written.fetch_add(n as u64, Ordering::Relaxed);
        left = &left[n..];
        if left.is_empty() {
            left = block.as_bytes();
        }
    }
}

/// Opens connections with a small receive buffer.
struct SmallBuffers;

impl Connect for SmallBuffers {
    async fn connect(&self, peer: SocketAddr) -> Result<Connection, SendError> {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        let size = KERNEL_BUFFER as u32;
        socket.set_recv_buffer_size(size).expect("an option");
        let stream: TcpStream = socket.connect(peer).await.expect("a connection");
        Ok(Connection {
            stream,
            path: Path::Direct,
            dead: DeadConnections::None,
        })
    }
}

fn client() -> Client<SmallBuffers> {
    let builder = Client::builder().read_buffer(READ_BUFFER);
    builder.build_with(SmallBuffers)
}

fn request() -> Request<Bytes> {
    let req = Request::builder().uri("/x").header("host", "h");
    req.body(Bytes::new()).expect("a request")
}

/// Fails unless the client closed the connection after few bytes.
async fn assert_closed_early(name: &str, client: &Client<SmallBuffers>, written: &AtomicU64) {
    assert_eq!(client.idle(), 0, "{name}: the connection is kept");
    let mut before = written.load(Ordering::Relaxed);
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let now = written.load(Ordering::Relaxed);
        assert!(now <= MAX_WRITTEN, "{name}: {now} of {MAX_WRITTEN} bytes");
        if now == before {
            return;
        }
        before = now;
    }
}

/// Guards against heads that are read at full speed until the caller's deadline.
#[actix_rt::test]
async fn head_without_end_costs_bounded_bytes() {
    for answer in HEADS {
        let (addr, written) = peer(answer);
        let client = client();
        let sent = tokio::time::timeout(PATIENCE, client.send(addr, request(), Reuse::Any)).await;
        let bytes = written.load(Ordering::Relaxed);
        let sent = sent.unwrap_or_else(|_| panic!("{}: no end, {bytes} bytes", answer.name));
        let e = sent.expect_err("no answer");
        let kinds = [SendErrorKind::Oversized, SendErrorKind::Garbled];
        assert!(kinds.contains(&e.kind), "{}: {e}", answer.name);
        assert!(!e.was_not_sent());
        assert_closed_early(answer.name, &client, &written).await;
    }
}

/// Guards against framing that is read at full speed until the caller's deadline.
#[actix_rt::test]
async fn body_without_end_costs_bounded_bytes() {
    for answer in BODIES {
        let (addr, written) = peer(answer);
        let client = client();
        let exchange = async {
            let mut sent = client
                .send(addr, request(), Reuse::Any)
                .await
                .expect("a head");
            sent.body.whole(BODY_LIMIT).await
        };
        let whole = tokio::time::timeout(PATIENCE, exchange).await;
        let bytes = written.load(Ordering::Relaxed);
        let whole = whole.unwrap_or_else(|_| panic!("{}: no end, {bytes} bytes", answer.name));
        let is_refused = matches!(
            whole,
            Ok(None) | Err(BodyError::Oversized | BodyError::Broken(_))
        );
        assert!(is_refused, "{}: {whole:?}", answer.name);
        assert_closed_early(answer.name, &client, &written).await;
    }
}

/// Guards against a body that is read on after its reader has lost interest.
#[actix_rt::test]
async fn body_that_is_dropped_costs_bounded_bytes() {
    for answer in BODIES {
        let (addr, written) = peer(answer);
        let client = client();
        let sent = client.send(addr, request(), Reuse::Any).await;
        drop(sent.expect("a head"));
        assert_closed_early(answer.name, &client, &written).await;
    }
}

/// Guards against bytes after a whole answer that are read without end.
#[actix_rt::test]
async fn bytes_after_an_answer_cost_bounded_bytes() {
    const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for repeated in [WHOLE, "x", "\r\n"] {
        let (addr, written) = peer(endless("an answer", WHOLE, repeated));
        let client = client();
        let sent = client.send(addr, request(), Reuse::Any).await;
        let body = sent.expect("a head").body.whole(BODY_LIMIT).await;
        assert_eq!(body.expect("a body").as_deref(), Some(b"ok".as_slice()));
        tokio::time::sleep(Duration::from_millis(50)).await;
        client.sweep();
        assert_closed_early(repeated, &client, &written).await;
    }
}

/// Guards against a peer whose answer to a request to relay never ends.
#[actix_rt::test]
async fn tunnel_whose_head_has_no_end_costs_bounded_bytes() {
    let target = "127.0.0.1:1".parse().expect("an address");
    for answer in HEADS {
        let (addr, written) = peer(answer);
        let opened = tunnel::open(&SmallBuffers, addr, target);
        let opened = tokio::time::timeout(PATIENCE, opened).await;
        let bytes = written.load(Ordering::Relaxed);
        let opened = opened.unwrap_or_else(|_| panic!("{}: no end, {bytes} bytes", answer.name));
        assert!(matches!(opened, Err(TunnelError::Failed(_))));
        assert_closed_early(answer.name, &client(), &written).await;
    }
}

/// A sound answer of this many one-byte chunks has five bytes of framing for each byte.
#[actix_rt::test]
async fn sound_answer_in_small_chunks_is_whole() {
    let bytes = 4 * OVERHEAD_LIMIT;
    let answer = format!("{CHUNKED}{}0\r\n\r\n", "1\r\nb\r\n".repeat(bytes));
    let addr = once(answer).await;
    let client = client();
    let sent = client.send(addr, request(), Reuse::Any).await;
    let limit = bytes * charge(b"b");
    let body = sent.expect("a head").body.whole(limit).await;
    assert_eq!(body.expect("a body").map(|b| b.len()), Some(bytes));
}

/// Informational heads before each of many answers on one connection do not add up.
#[actix_rt::test]
async fn bound_holds_for_each_answer_of_a_connection() {
    let hint = "HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\n";
    let hints = hint.repeat(OVERHEAD_LIMIT / 2 / hint.len());
    let answer = format!("{hints}HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let addr = once(answer).await;
    let client = client();
    for _ in 0..6 {
        let sent = client.send(addr, request(), Reuse::Any).await;
        let body = sent.expect("a head").body.whole(BODY_LIMIT).await;
        assert_eq!(body.expect("a body").as_deref(), Some(b"ok".as_slice()));
    }
    assert_eq!(client.opened(), 1);
}

/// A peer that writes an answer after each request.
async fn once(answer: String) -> SocketAddr {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut req = [0; 4096];
            while matches!(stream.read(&mut req).await, Ok(read) if read > 0) {
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    break;
                }
            }
        }
    });
    addr
}

/// Guards against a body in very small pieces, which cost far more than their bytes.
#[actix_rt::test]
async fn body_in_small_pieces_counts_by_pieces() {
    const LIMIT: usize = 1 << 20;
    const CHUNK: &str = "4\r\nbody\r\n";
    let (addr, written) = peer(endless("chunks", CHUNKED, CHUNK));
    let client = client();
    let sent = client.send(addr, request(), Reuse::Any).await;
    let body = sent.expect("a head").body.whole(LIMIT).await;
    assert!(matches!(body, Ok(None)));
    let pieces = LIMIT / charge(b"body");
    let most = pieces * CHUNK.len() + 2 * READ_BUFFER + 6 * KERNEL_BUFFER;
    let bytes = written.load(Ordering::Relaxed);
    assert!(bytes <= most as u64, "{bytes} of {most} bytes");
}

/// Guards against a peer that writes without end on a connection that only asked whether it is
/// there.
#[actix_rt::test]
async fn bytes_on_a_probe_cost_bounded_bytes() {
    const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for repeated in [WHOLE, "x"] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let written = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&written);
        std::thread::spawn(move || {
            let (stream, _) = listener.accept().expect("a connection");
            write_repeatedly(stream, endless("bytes", "", repeated), &counted);
        });
        let client = client();
        let presence = client.probe(addr).await.expect("a connection");
        assert!(!presence.lasts(PATIENCE).await, "{repeated}");
        assert_closed_early(repeated, &client, &written).await;
    }
}
