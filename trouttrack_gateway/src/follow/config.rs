//! Follows the configuration: from the platform, or from peers in an outage.

use crate::app::{Shared, Source};
use crate::peers::PeerList;
use std::sync::Arc;
use std::time::Duration;
use trouttrack_rpc::ConfigBundle;
use trouttrack_state::ConfigStore;
use trouttrack_state::client::Backoff;
use trouttrack_state::config_store::{StoreError, Stored};
use trouttrack_telemetry::events;

/// How long one watch waits.
const WATCH: Duration = Duration::from_secs(20);
const FIRST_RETRY: Duration = Duration::from_millis(200);
const LONGEST_RETRY: Duration = Duration::from_secs(3);

/// Keeps the newest configuration in force for as long as the process lives.
pub async fn config(shared: Arc<Shared>, store: ConfigStore, peers: PeerList) {
    let mut backoff = Backoff::new(FIRST_RETRY, LONGEST_RETRY);
    let mut since = 0;
    loop {
        match next(&shared, &store, since).await {
            Ok(seen) => {
                since = seen;
                shared.set_platform_up(true);
                backoff.reset();
            }
            Err(e) => {
                if matches!(e, StoreError::Platform(_)) {
                    shared.set_platform_up(false);
                } else {
                    events::CONFIG_REFUSED.log(format_args!("{e}"));
                }
                ask_peers(&shared, &peers).await;
                tokio::time::sleep(backoff.next(&mut rand::rng())).await;
            }
        }
    }
}

/// Reads the root, adopts it if it is newer, and waits for the next one.
async fn next(shared: &Shared, store: &ConfigStore, since: u64) -> Result<u64, StoreError> {
    if since > 0 {
        store.wait(since, WATCH).await?;
    }
    let stored = store.root().await?;
    adopt(shared, store, &stored).await?;
    if stored.object_version == 0 {
        // Nothing is configured yet; any change is news.
        return store.wait(0, WATCH).await.map(|revision| revision.max(1));
    }
    Ok(stored.object_version.max(since))
}

async fn adopt(shared: &Shared, store: &ConfigStore, stored: &Stored) -> Result<(), StoreError> {
    if stored.root.version <= shared.view().version() {
        return Ok(());
    }
    let known = shared.bundle();
    let known = known.as_ref().map_or(&[][..], |b| &b.parts);
    let parts = store.parts(&stored.root, known).await?;
    let bundle = ConfigBundle {
        object_version: stored.object_version,
        root: stored.root.clone(),
        parts,
    };
    shared.adopt(bundle, Source::Platform);
    Ok(())
}

/// Takes the newest configuration that a peer has.
async fn ask_peers(shared: &Arc<Shared>, peers: &PeerList) {
    for addr in peers.all() {
        if let Some(bundle) = crate::peers::fetch_config(shared, addr).await {
            shared.adopt(bundle, Source::Peer);
        }
    }
}
