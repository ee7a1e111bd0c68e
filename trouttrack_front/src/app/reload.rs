//! Reload of the settings file.

use crate::state::Front;
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use trouttrack_config::settings::{FrontSettings, load};
use trouttrack_telemetry::{events, record};

/// Interval at which the file's modification time is checked: it may change without a SIGHUP.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings file on SIGHUP or modification for as long as the process runs.
pub(super) async fn follow(front: Rc<Front>, file: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(e) => {
            log::error!("cannot install the SIGHUP handler; settings will not be reloaded: {e}");
            return;
        }
    };
    let mut last_modified = modified(&file);
    loop {
        let signalled = wait(&mut hangup).await;
        let current = modified(&file);
        if signalled || current != last_modified {
            last_modified = current;
            reload(&front, &file);
        }
    }
}

async fn wait(hangup: &mut Signal) -> bool {
    tokio::select! {
        _ = hangup.recv() => true,
        () = tokio::time::sleep(POLL_INTERVAL) => false,
    }
}

fn modified(file: &Path) -> Option<SystemTime> {
    fs::metadata(file).and_then(|m| m.modified()).ok()
}

/// Applies changed revocation bounds and lifted holds. All other settings stay as they were at startup.
fn reload(front: &Front, file: &Path) {
    match load::<FrontSettings>(file) {
        Ok(settings) => {
            front.routing.set_bounds(&settings.bounds);
            front.quarantine.set_lifted(&settings.lifted);
            record!(
                events::SETTINGS_RELOADED,
                revoke_ms = settings.bounds.revoke.as_millis() as u64,
                revoke_strict = settings.bounds.revoke_strict,
            );
        }
        Err(findings) => {
            let findings = findings.to_string();
            record!(events::SETTINGS_REFUSED, findings = findings.as_str());
        }
    }
}
