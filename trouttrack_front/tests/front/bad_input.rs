//! Malformed, oversized and truncated requests.

use crate::support::{Bed, HOST, KEY, PLAIN, plain, until};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use trouttrack_platform_standin::{CallerRequest, Upstream};

/// Sends bytes and returns everything received until the connection closes.
async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    stream.write_all(bytes).await.expect("written");
    let mut answer = Vec::new();
    // A connection reset after the answer counts as a close.
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8_lossy(&answer).into_owned()
}

#[actix_rt::test]
async fn malformed_requests_run_nothing_and_valid_requests_are_served() {
    let bed = Bed::new(PLAIN).await;
    let inputs: [&[u8]; 6] = [
        b"nonsense\r\n\r\n",
        b"GET /many/x HTTP/1.1\r\n\r\n",
        b"POST /many/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: -1\r\n\r\n",
        // Request smuggling with two different content lengths.
        b"POST /many/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nabcdGET /",
        b"POST /many/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /many/y HTTP/1.1\r\n\r\n",
        b"GET /many/x HTTP/1.1\r\nHost: desk.example\r\nBad Header: 1\r\n\r\n",
    ];
    for input in inputs {
        let answer = send_raw(bed.addr(), input).await;
        let shown = String::from_utf8_lossy(input);
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
            "{shown}: {answer}"
        );
    }
    assert!(bed.upstreams.iter().all(|u| u.arrivals().is_empty()));
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 200);
}

#[actix_rt::test]
async fn unknown_hosts_and_paths_are_not_found() {
    let bed = Bed::new(PLAIN).await;
    for (host, path) in [("other.example", "/many/x"), (HOST, "/"), (HOST, "/none/x")] {
        let req = CallerRequest::get("r1", host, path).key(KEY);
        assert_eq!(bed.send(&req).await.status, 404, "{host}{path}");
    }
}

#[actix_rt::test]
async fn oversized_bodies_and_headers_are_rejected() {
    let bed = Bed::new(PLAIN).await;
    let mut large = plain("r1", "many").post("");
    large.body = vec![b'x'; 20_000].into();
    assert_eq!(bed.send(&large).await.status, 413);
    let mut wide = plain("r2", "many");
    wide.headers.push(("X-Wide".to_owned(), "x".repeat(8000)));
    assert_eq!(bed.send(&wide).await.status, 431);
    let mut fits = plain("r3", "many").post("");
    fits.body = vec![b'x'; 10_000].into();
    assert_eq!(bed.send(&fits).await.status, 200);
    assert!(bed.ran("r1").is_empty() && bed.ran("r2").is_empty());
}

#[actix_rt::test]
async fn a_truncated_body_runs_nothing() {
    let bed = Bed::new(PLAIN).await;
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 50\r\n\r\nhalf"
    );
    let mut stream = TcpStream::connect(bed.addr()).await.expect("a connection");
    stream.write_all(head.as_bytes()).await.expect("written");
    until("the request is accepted", || {
        bed.front.front.lifecycle.in_flight() > 0
    })
    .await;
    drop(stream);
    until("the request is abandoned", || {
        bed.front.front.lifecycle.in_flight() == 0
    })
    .await;
    assert!(bed.upstreams.iter().all(|u| u.arrivals().is_empty()));
}

#[actix_rt::test]
async fn a_chunked_body_arrives_complete() {
    let bed = Bed::new(PLAIN).await;
    let bytes = format!(
        "POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
    );
    let answer = send_raw(bed.addr(), bytes.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let arrivals: Vec<_> = bed.upstreams.iter().flat_map(Upstream::arrivals).collect();
    assert_eq!(arrivals[0].body, b"abcdefg");
}
