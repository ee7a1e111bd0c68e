//! A VM to which the load balancer hands most new connections of its failure domain.
//!
//! Guards against a VM that accepts whatever comes: it runs out of descriptors, memory or
//! processor time, and then serves also those badly whose requests it has read. A connection that
//! is closed before anything was read costs its caller one more connection, to another VM.

use crate::support::{Bed, PLAIN, plain, settings, until};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use trouttrack_front::app::start;
use trouttrack_platform_standin::CallerRequest;

/// New connections that one VM gets, several times what a VM of the smallest kind can hold.
const CROWD: usize = 3000;
/// Connections that a VM of the smallest kind can hold at most: each needs two of its 4,100
/// descriptors, one for the caller and one for an upstream.
const MAX_HELD: usize = 2050;
/// Time within which a caller learns that its connection is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens a connection and waits a moment for it to be closed unread. Returns it if it stays open.
async fn connect(to: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect(to).await.ok()
}

/// Whether the VM has closed the connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut buf = [0; 1];
    match stream.try_read(&mut buf) {
        Ok(0) => true,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}

/// Sends a request on a connection and reads the head of the answer; `None` if the connection is
/// closed without an answer.
async fn send_on(stream: &mut TcpStream, req: &CallerRequest) -> Option<Vec<u8>> {
    stream.write_all(&req.to_bytes()).await.ok()?;
    let mut head = vec![0; 12];
    let read = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_exact(&mut head));
    read.await.expect("an answer or a close in time").ok()?;
    Some(head)
}

#[actix_rt::test]
async fn a_crowded_vm_closes_connections_unread_that_it_cannot_hold_and_serves_the_others() {
    let bed = Bed::new(PLAIN).await;
    let other = start(&settings(&bed.store, "front-2", "")).await;
    let other = other.expect("a front");
    until("the other VM is ready", || other.front.lifecycle.is_ready()).await;
    until("keys are confirmed", || other.front.routing.is_fresh()).await;
    until("the VMs know each other", || {
        !bed.front.front.peers.others().is_empty()
    })
    .await;
    let mut crowd = Vec::new();
    for _ in 0..CROWD {
        crowd.extend(connect(bed.addr()).await);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut held = Vec::new();
    for mut stream in crowd {
        if !is_closed(&mut stream).await {
            held.push(stream);
        }
    }
    assert!(
        held.len() <= MAX_HELD,
        "the VM holds {} connections",
        held.len()
    );
    assert!(bed.front.front.lifecycle.is_ready());
    // Open connections are served.
    for (n, stream) in held.iter_mut().take(50).enumerate() {
        let answer = send_on(stream, &plain(&format!("held-{n}"), "many")).await;
        assert_eq!(answer.as_deref(), Some(&b"HTTP/1.1 200"[..]));
    }
    // A new caller is not read there, and its next try reaches another VM.
    for n in 0..20 {
        let id = format!("new-{n}");
        let req = plain(&id, "many");
        let first = match connect(bed.addr()).await {
            Some(mut stream) => send_on(&mut stream, &req).await,
            None => None,
        };
        assert_eq!(first, None);
        assert!(bed.ran(&id).is_empty());
        assert_eq!(req.send(other.callers).await.status, 200);
    }
    // With fewer open connections new ones are served again.
    drop(held);
    let req = plain("later", "many");
    until("connections are closed", || {
        bed.front.front.intake.open() < MAX_HELD / 4
    })
    .await;
    assert_eq!(bed.send(&req).await.status, 200);
}
