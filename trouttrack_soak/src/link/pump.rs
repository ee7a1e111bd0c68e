//! Carrying bytes one way.

use super::condition::{Condition, Way};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// Bytes read at once.
const READ: usize = 16 * 1024;

/// Carries bytes one way until the end, until the link has been reset more often than `resets`
/// times, or until a connection is `broken`: reset by its peer.
pub(super) async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    condition: watch::Receiver<Condition>,
    resets: u64,
    broken: &watch::Sender<bool>,
) -> (OwnedReadHalf, OwnedWriteHalf) {
    let mut was_reset = condition.clone();
    let mut is_broken = broken.subscribe();
    tokio::select! {
        carried = carry(&mut from, &mut to, way, condition) => {
            if carried.is_err() {
                broken.send_replace(true);
            }
        }
        _ = was_reset.wait_for(|c| c.resets > resets) => {}
        _ = is_broken.wait_for(|broken| *broken) => {}
    }
    (from, to)
}

/// Carries bytes until there are no more, or nobody takes them, or the link is
/// gone.
///
/// # Errors
///
/// The connection was reset by its peer.
async fn carry(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    way: Way,
    mut condition: watch::Receiver<Condition>,
) -> io::Result<()> {
    let mut buf = vec![0; READ];
    loop {
        let read = from.read(&mut buf).await;
        let open = condition.wait_for(|c| !way.is_cut(c)).await;
        let Ok(delay) = open.map(|c| c.delay) else {
            return Ok(());
        };
        tokio::time::sleep(delay).await;
        let read = read?;
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            // The other way goes on; the peer may be gone already.
            drop(to.shutdown().await);
            return Ok(());
        }
    }
}
