//! Faults at the stand-ins' faces while requests run.

use super::FaultsOptions;
use crate::client::http;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::time::Duration;

/// Pause between two disturbances.
const PAUSE: Duration = Duration::from_millis(120);

fn engine_fault(rng: &mut SmallRng) -> Value {
    const KINDS: [&str; 10] = [
        "refuse",
        "reset",
        "silent",
        "duplicate",
        "gap",
        "crossed",
        "other-generation",
        "abort",
        "lose-call",
        "late-call",
    ];
    let on = if rng.random_bool(0.75) {
        "submit"
    } else {
        "attach"
    };
    json!({
        "on": on,
        "kind": KINDS[rng.random_range(0..KINDS.len())],
        "at": rng.random_range(0..20),
        "times": 1,
    })
}

fn plain_fault(rng: &mut SmallRng) -> Value {
    const KINDS: [&str; 4] = ["refuse", "lose-reply", "cut-reply", "lose-call"];
    json!(KINDS[rng.random_range(0..KINDS.len())])
}

fn platform_fault(rng: &mut SmallRng) -> Value {
    let kind = match rng.random_range(0..4) {
        0 => json!("down"),
        1 => json!("lose-reply"),
        2 => json!({ "slow": { "ms": 200 } }),
        _ => json!({ "late-effect": { "ms": 300 } }),
    };
    json!({ "kind": kind, "times": 3 })
}

/// Disturbs for as long as it is let.
pub(super) async fn disturb(o: FaultsOptions) {
    const OTHER: u64 = 0x5eed;
    let mut rng = SmallRng::seed_from_u64(o.seed ^ OTHER);
    let client = http();
    loop {
        tokio::time::sleep(PAUSE).await;
        let (url, fault) = match rng.random_range(0..10) {
            0 => (&o.platform, platform_fault(&mut rng)),
            1 | 2 => {
                let i = rng.random_range(0..o.plains.len());
                (&o.plains[i], plain_fault(&mut rng))
            }
            _ => {
                let i = rng.random_range(0..o.engines.len());
                (&o.engines[i], engine_fault(&mut rng))
            }
        };
        // One that is dead just now cannot be disturbed.
        let _ = client
            .post(format!("{url}/standin/faults"))
            .send_json(&fault)
            .await;
    }
}
