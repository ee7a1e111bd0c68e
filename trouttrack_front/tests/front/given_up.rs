//! Relayed requests that are given up while they are on their way.

use crate::support::{Bed, PLAIN, until};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use trouttrack_http::{Direct, RequestStream, tunnel};

const TIMEOUT: Duration = Duration::from_secs(1);
/// More than the buffers of all connections on the way hold.
const LARGE: usize = 64 << 20;
/// Time within which what the buffers hold has been written.
const WRITTEN_AFTER: Duration = Duration::from_millis(500);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";

/// A VM, and a connection through it to an upstream that only the test answers for.
struct Relayed {
    _bed: Bed,
    /// The end of the VM that asked for the connection.
    asker: Option<RequestStream>,
    upstream: TcpStream,
}

impl Relayed {
    async fn new() -> Self {
        let bed = Bed::new(PLAIN).await;
        let front = &bed.front.front;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let mut upstream = bed.upstreams[0].clone();
        upstream.addr = addr;
        bed.store.put_upstream(&upstream, false);
        until("the VM knows the upstream", || {
            front.upstreams.at(addr).is_some()
        })
        .await;
        let relay = *front.peer_addr.get().expect("an address");
        let direct = Direct::new(TIMEOUT);
        let (opened, accepted) =
            tokio::join!(tunnel::open(&direct, relay, addr), listener.accept());
        let asker = opened.expect("a connection").stream;
        Self {
            _bed: bed,
            asker: Some(RequestStream::new(asker).expect("options")),
            upstream: accepted.expect("a connection").0,
        }
    }

    async fn send(&mut self) {
        let asker = self.asker.as_mut().expect("not given up");
        asker.write_all(REQUEST).await.expect("written");
        let mut request = [0; REQUEST.len()];
        let read = self.upstream.read_exact(&mut request).await;
        read.expect("a request");
    }

    /// Gives up, then reads to the end: whether the upstream's connection was closed in order.
    async fn ends_in_order(mut self) -> bool {
        self.asker = None;
        tokio::time::sleep(WRITTEN_AFTER).await;
        let mut buf = vec![0; 64 << 10];
        loop {
            match self.upstream.read(&mut buf).await {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => {
                    assert_eq!(e.kind(), ErrorKind::ConnectionReset);
                    return false;
                }
            }
        }
    }
}

/// Guards against a relayed request that is delivered to its upstream after it was given up.
#[actix_rt::test]
async fn a_relayed_request_that_is_given_up_resets_its_connection() {
    let mut relayed = Relayed::new().await;
    relayed.send().await;
    assert!(!relayed.ends_in_order().await);
}

/// Guards against a peer that does not notice, while the upstream takes no bytes, that the request
/// they belong to was given up.
#[actix_rt::test]
async fn a_relayed_request_that_is_given_up_half_sent_resets_its_connection() {
    let mut relayed = Relayed::new().await;
    let asker = relayed.asker.as_mut().expect("not given up");
    let body = vec![b'x'; LARGE];
    let written = tokio::time::timeout(WRITTEN_AFTER, asker.write_all(&body)).await;
    assert!(written.is_err(), "nobody reads");
    assert!(!relayed.ends_in_order().await);
}

/// Guards against a reset of a relayed connection on which the upstream has answered.
#[actix_rt::test]
async fn a_relayed_connection_that_was_answered_closes_in_order() {
    let mut relayed = Relayed::new().await;
    relayed.send().await;
    let written = relayed.upstream.write_all(ANSWER).await;
    written.expect("written");
    let asker = relayed.asker.as_mut().expect("not given up");
    let mut answer = [0; ANSWER.len()];
    asker.read_exact(&mut answer).await.expect("an answer");
    assert!(relayed.ends_in_order().await);
}
