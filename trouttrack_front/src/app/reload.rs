//! Reading the settings again.

use crate::state::Front;
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use trouttrack_config::settings::{FrontSettings, load};
use trouttrack_telemetry::{events, record};

/// How often the file is looked at: it may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Follows the settings file for as long as the process runs.
pub(super) async fn follow(front: Rc<Front>, file: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(e) => {
            log::error!("SIGHUP cannot be waited for: {e}");
            return;
        }
    };
    let mut seen = modified(&file);
    loop {
        let told = wait(&mut hangup).await;
        let now = modified(&file);
        if told || now != seen {
            seen = now;
            reload(&front, &file);
        }
    }
}

async fn wait(hangup: &mut Signal) -> bool {
    tokio::select! {
        _ = hangup.recv() => true,
        () = tokio::time::sleep(LOOK_EVERY) => false,
    }
}

fn modified(file: &Path) -> Option<SystemTime> {
    fs::metadata(file).and_then(|m| m.modified()).ok()
}

/// Puts changed bounds on removed keys in force. Everything else stays as it
/// was at the start.
fn reload(front: &Front, file: &Path) {
    match load::<FrontSettings>(file) {
        Ok(settings) => {
            front.routing.set_bounds(&settings.bounds);
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
