//! What may still arrive after a request was given up.

use bytes::Bytes;
use http::Request;
use socket2::{SockFilter, SockRef};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use trouttrack_http::{Client, RequestStream, Reuse, SendErrorKind};

/// More than the buffers of both ends of a connection hold.
const LARGE: usize = 32 << 20;
/// Long enough that whatever the buffers hold has been written.
const GIVEN_UP_AFTER: Duration = Duration::from_millis(300);
/// Longer than a limit, and than the system waits before it sends for the second time.
const PARTITIONED_FOR: Duration = Duration::from_millis(700);
/// Longer than the system waits before it sends again what was sent so long ago.
const SENT_AGAIN: Duration = Duration::from_secs(3);
/// The instruction of a packet filter that ends it.
const RETURN: u16 = 0x06;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

fn request(body: usize) -> Request<Bytes> {
    let req = Request::builder().method("POST").uri("/x");
    let req = req.header("host", "h").body(vec![b'x'; body].into());
    req.expect("a request")
}

/// Reads a request without a body.
async fn read_request(stream: &mut TcpStream) {
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n\r\n") {
        read.push(stream.read_u8().await.expect("a request"));
    }
}

/// A connection of the client that is idle after an answer.
async fn kept_connection(client: &Client, listener: &TcpListener, addr: SocketAddr) -> TcpStream {
    let (answer, stream) = tokio::join!(client.send(addr, request(0), Reuse::Any), async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        stream.write_all(HEAD).await.expect("written");
        stream.write_all(b"done").await.expect("written");
        stream
    });
    let body = answer.expect("an answer").body.whole(100).await;
    assert_eq!(body.expect("a body").as_deref(), Some(&b"done"[..]));
    stream
}

/// Reads to the end: how many bytes came, and whether the connection was closed in order.
async fn drain(stream: &mut TcpStream) -> (usize, bool) {
    let mut buf = vec![0; 64 << 10];
    let mut total = 0;
    loop {
        match stream.read(&mut buf).await {
            Ok(0) => return (total, true),
            Ok(read) => total += read,
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::ConnectionReset);
                return (total, false);
            }
        }
    }
}

/// Guards against a request that the system delivers to its upstream after it was given up.
#[actix_rt::test]
async fn what_is_in_flight_when_its_request_is_given_up_is_not_delivered() {
    let (listener, addr) = listen().await;
    let client = Client::builder().build();
    let sending = client.send(addr, request(LARGE), Reuse::Never);
    let given_up = tokio::time::timeout(GIVEN_UP_AFTER, sending).await;
    assert!(given_up.is_err(), "nobody answers");
    let (mut stream, _) = listener.accept().await.expect("a connection");
    // The connection is closed before the peer reads, as at the end of a partition.
    tokio::time::sleep(GIVEN_UP_AFTER).await;
    let (_, in_order) = drain(&mut stream).await;
    assert!(!in_order, "the system delivers what was given up");
}

/// Guards against a request that is given up during a partition and arrives after its end, when
/// the system sends it again.
#[actix_rt::test]
async fn a_request_given_up_during_a_partition_does_not_arrive_after_its_end() {
    let (listener, addr) = listen().await;
    let client = Client::builder().build();
    let mut stream = kept_connection(&client, &listener, addr).await;
    let partition = SockRef::from(&stream).try_clone().expect("a copy");
    let drop_all = [SockFilter::new(RETURN, 0, 0, 0)];
    partition.attach_filter(&drop_all).expect("a filter");
    let sending = client.send(addr, request(0), Reuse::Any);
    let given_up = tokio::time::timeout(GIVEN_UP_AFTER, sending).await;
    assert!(given_up.is_err(), "nobody answers");
    assert_eq!(client.opened(), 1, "the kept connection carried it");
    partition.detach_filter().expect("the filter");
    let arrived = tokio::time::timeout(SENT_AGAIN, drain(&mut stream)).await;
    // A reset that is lost is not repeated, so there may be no end.
    assert!(!matches!(arrived, Ok((1.., _))), "{arrived:?}");
}

/// Guards against a request that still waits for its answer and arrives after a partition at an
/// upstream that has announced its departure meanwhile.
#[actix_rt::test]
async fn a_limited_request_held_up_by_a_partition_does_not_arrive_after_its_end() {
    let (listener, addr) = listen().await;
    let client = Client::builder().build();
    let mut stream = kept_connection(&client, &listener, addr).await;
    let partition = SockRef::from(&stream).try_clone().expect("a copy");
    let drop_all = [SockFilter::new(RETURN, 0, 0, 0)];
    partition.attach_filter(&drop_all).expect("a filter");
    let sender = client.clone();
    let sending =
        actix_rt::spawn(async move { sender.send(addr, request(0), Reuse::Any).await.map(drop) });
    tokio::time::sleep(GIVEN_UP_AFTER).await;
    client.limit_unacknowledged(addr, GIVEN_UP_AFTER);
    tokio::time::sleep(PARTITIONED_FOR).await;
    partition.detach_filter().expect("the filter");
    let mut buf = [0; 64];
    let arrived = tokio::time::timeout(SENT_AGAIN, stream.read(&mut buf)).await;
    assert!(!matches!(arrived, Ok(Ok(1..))), "{arrived:?}");
    let lost = sending.await.expect("an outcome").expect_err("no answer");
    assert_eq!(lost.kind, SendErrorKind::Lost);
}

/// Guards against the loss of a request that its upstream has received, because that is about to
/// leave.
#[actix_rt::test]
async fn a_limited_request_that_has_arrived_is_answered() {
    let (listener, addr) = listen().await;
    let client = Client::builder().build();
    let (answer, _stream) = tokio::join!(client.send(addr, request(0), Reuse::Any), async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        client.limit_unacknowledged(addr, GIVEN_UP_AFTER);
        tokio::time::sleep(SENT_AGAIN).await;
        stream.write_all(HEAD).await.expect("written");
        stream.write_all(b"done").await.expect("written");
        stream
    });
    let body = answer.expect("an answer").body.whole(100).await;
    assert_eq!(body.expect("a body").as_deref(), Some(&b"done"[..]));
}

/// Guards against a request on a kept connection that is delivered after it was given up.
#[actix_rt::test]
async fn a_request_given_up_on_a_kept_connection_resets_it() {
    let (listener, addr) = listen().await;
    let client = Client::builder().build();
    let mut stream = kept_connection(&client, &listener, addr).await;
    let sending = client.send(addr, request(0), Reuse::Any);
    let given_up = tokio::time::timeout(GIVEN_UP_AFTER, sending).await;
    assert!(given_up.is_err(), "nobody answers");
    assert_eq!(client.opened(), 1, "the kept connection carried it");
    let (_, in_order) = drain(&mut stream).await;
    assert!(!in_order, "closed in order");
}

/// Guards against a request that is delivered late because the answer to an earlier one came in the
/// place of its own.
#[actix_rt::test]
async fn a_connection_that_answers_another_request_is_reset() {
    let (listener, addr) = listen().await;
    let client = Client::builder().build();
    let (answer, mut stream) = tokio::join!(client.send(addr, request(0), Reuse::Any), async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        stream.write_all(HEAD).await.expect("written");
        stream
    });
    answer.expect("an answer").body.distrust();
    let (_, in_order) = drain(&mut stream).await;
    assert!(!in_order, "closed in order");
}

/// Guards against an upstream that works on because the end of its connection was lost once: an
/// end in order is repeated, a reset is not.
#[actix_rt::test]
async fn an_answer_that_is_given_up_midway_closes_its_connection_in_order() {
    let (listener, addr) = listen().await;
    let client = Client::builder().build();
    let (answer, mut stream) = tokio::join!(client.send(addr, request(0), Reuse::Any), async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        stream.write_all(HEAD).await.expect("written");
        stream
    });
    drop(answer.expect("an answer"));
    assert_eq!(drain(&mut stream).await, (0, true));
}

/// Guards against resets of connections on which every request has been answered.
#[actix_rt::test]
async fn an_idle_connection_closes_in_order() {
    let (listener, addr) = listen().await;
    let client = Client::builder().build();
    let mut stream = kept_connection(&client, &listener, addr).await;
    assert_eq!(client.idle(), 1);
    client.forget(addr);
    assert_eq!(drain(&mut stream).await, (0, true));
}

/// Guards against requests that the system delivers after their process was killed.
#[actix_rt::test]
async fn the_system_resets_a_connection_whose_process_is_killed() {
    let (listener, addr) = listen().await;
    let (stream, accepted) = tokio::join!(TcpStream::connect(addr), listener.accept());
    let (mut peer, _) = accepted.expect("a connection");
    let stream = stream.expect("a connection");
    let raw = SockRef::from(&stream).try_clone().expect("a copy");
    let stream = RequestStream::new(stream).expect("options");
    // A process that is killed runs no destructors, so the system closes with these options.
    assert_eq!(raw.linger().expect("an option"), Some(Duration::ZERO));
    drop(raw);
    drop(stream);
    assert_eq!(drain(&mut peer).await, (0, true));
}
