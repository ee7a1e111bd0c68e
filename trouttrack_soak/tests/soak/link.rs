//! Links.

use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use trouttrack_soak::link::Link;
use trouttrack_soak::plan::LinkFault;

/// Long enough for loopback; only what must not arrive is waited for so long.
const A_WHILE: Duration = Duration::from_millis(200);

/// A server's and a client's end of one connection through a link.
async fn joined() -> (Link, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = Link::before(listener.local_addr().unwrap()).await.unwrap();
    let client = TcpStream::connect(link.addr()).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (link, client, server)
}

async fn arrives(from: &mut TcpStream, to: &mut TcpStream) -> bool {
    from.write_all(b"x").await.unwrap();
    let mut byte = [0; 1];
    let read = to.read_exact(&mut byte);
    tokio::time::timeout(A_WHILE, read).await.is_ok()
}

/// How long a reset is waited for; it comes at once.
const PATIENCE: Duration = Duration::from_secs(20);

async fn is_reset(stream: &mut TcpStream) -> bool {
    let mut byte = [0; 1];
    let read = tokio::time::timeout(PATIENCE, stream.read_exact(&mut byte));
    matches!(read.await, Ok(Err(_)))
}

#[actix_rt::test]
async fn a_cut_holds_one_way_and_is_mended() {
    let (link, mut client, mut server) = joined().await;
    assert!(arrives(&mut client, &mut server).await);
    link.set(Some(LinkFault::CutToServer));
    assert!(!arrives(&mut client, &mut server).await);
    assert!(arrives(&mut server, &mut client).await);
    link.set(None);
    let mut byte = [0; 1];
    assert!(server.read_exact(&mut byte).await.is_ok());
}

#[actix_rt::test]
async fn a_reset_reaches_both_ends() {
    let (link, mut client, mut server) = joined().await;
    link.set(Some(LinkFault::Reset));
    assert!(is_reset(&mut client).await);
    assert!(is_reset(&mut server).await);
}

#[actix_rt::test]
async fn a_link_that_refuses_takes_no_connection() {
    let (link, client, _server) = joined().await;
    link.set(Some(LinkFault::Refuse));
    drop(client);
    let mut refused = TcpStream::connect(link.addr()).await.unwrap();
    assert!(is_reset(&mut refused).await);
}

#[actix_rt::test]
async fn a_closed_link_refuses_and_keeps_its_port() {
    let (link, _client, _server) = joined().await;
    link.close();
    let refused = async {
        while TcpStream::connect(link.addr()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(PATIENCE, refused).await.unwrap();
    assert!(TcpListener::bind(link.addr()).await.is_err());
}

/// Guards against a reset that arrives as an orderly close, which would end an unframed answer.
#[actix_rt::test]
async fn a_reset_of_one_end_reaches_the_other_as_a_reset() {
    for resets_server in [true, false] {
        let (_link, client, server) = joined().await;
        let (resetting, mut other) = match resets_server {
            true => (server, client),
            false => (client, server),
        };
        resetting.set_zero_linger().unwrap();
        drop(resetting);
        let mut byte = [0; 1];
        let read = tokio::time::timeout(PATIENCE, other.read(&mut byte)).await;
        let kind = read.expect("an end").map_err(|e| e.kind());
        assert_eq!(kind, Err(std::io::ErrorKind::ConnectionReset));
    }
}
