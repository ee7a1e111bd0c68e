//! Carrying bytes one way.

use super::condition::{Condition, Way};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// Bytes read at once.
const READ: usize = 16 * 1024;

/// Carries bytes one way until the end, or until the link has been reset more
/// often than `resets` times.
pub(super) async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    condition: watch::Receiver<Condition>,
    resets: u64,
) -> (OwnedReadHalf, OwnedWriteHalf) {
    let mut was_reset = condition.clone();
    tokio::select! {
        () = carry(&mut from, &mut to, way, condition) => {}
        _ = was_reset.wait_for(|c| c.resets > resets) => {}
    }
    (from, to)
}

/// Carries bytes until there are no more, or nobody takes them, or the link is
/// gone.
async fn carry(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    way: Way,
    mut condition: watch::Receiver<Condition>,
) {
    let mut buf = vec![0; READ];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        let open = condition.wait_for(|c| !way.is_cut(c)).await;
        let Ok(delay) = open.map(|c| c.delay) else {
            return;
        };
        tokio::time::sleep(delay).await;
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            // The other way goes on; the peer may be gone already.
            drop(to.shutdown().await);
            return;
        }
    }
}
