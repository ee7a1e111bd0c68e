//! What claiming idempotency keys costs: added delay, and the platform's
//! writes, at a given rate of plain calls.
//!
//! Calls with and without a key go out in turn, so both meet the same load.

use crate::client::{Goal, http};
use crate::record;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// The measurement cannot be made.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ClaimsError {
    /// The platform's counts cannot be read.
    #[error("the platform's counts cannot be read: {0}")]
    Platform(String),
}

/// What is measured.
#[derive(Clone, Debug)]
pub struct ClaimsOptions {
    /// Gateways, in turn.
    pub gateways: Vec<Goal>,
    /// The platform stand-in.
    pub platform: String,
    /// Calls with a key each second; as many go out without.
    pub rate: f64,
    /// For how long.
    pub duration: Duration,
    /// Threads of the client.
    pub threads: usize,
    /// Seed of the arrivals.
    pub seed: u64,
}

#[derive(Debug, Deserialize)]
struct Calls {
    reads: u64,
    writes: u64,
    watches: u64,
    limited: u64,
}

/// What was seen.
#[derive(Clone, Debug)]
struct Seen {
    with_key: Histogram<u64>,
    without: Histogram<u64>,
    failed: u64,
}

impl Seen {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are within bounds");
        Self {
            with_key: histogram(),
            without: histogram(),
            failed: 0,
        }
    }
}

async fn calls(platform: &str) -> Result<Calls, ClaimsError> {
    let wrong = |e: String| ClaimsError::Platform(e);
    let url = format!("{platform}/standin/calls");
    let mut res = http()
        .get(url)
        .send()
        .await
        .map_err(|e| wrong(e.to_string()))?;
    res.json().await.map_err(|e| wrong(e.to_string()))
}

/// One thread's share of the calls, at exponential gaps.
fn share(o: &ClaimsOptions, thread: usize) -> Seen {
    let o = o.clone();
    actix_rt::System::new().block_on(async move {
        let mut rng = SmallRng::seed_from_u64(o.seed + thread as u64);
        let client = http();
        let mean = o.threads as f64 / (o.rate * 2.0);
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let (mut running, mut number) = (Vec::new(), 0u64);
        while due < o.duration {
            due += Duration::from_secs_f64(-mean * (1.0 - rng.random::<f64>()).ln());
            tokio::time::sleep_until((start + due).into()).await;
            number += 1;
            let goal = &o.gateways[number as usize % o.gateways.len()];
            let mut req = client.post(format!("{}/svc/register/x", goal.url));
            if let Some(key) = &goal.key {
                req = req.bearer_auth(key);
            }
            let keyed = number.is_multiple_of(2);
            if keyed {
                req =
                    req.insert_header(("idempotency-key", format!("{}-{thread}-{number}", o.seed)));
            }
            let sent = Instant::now();
            running.push(actix_rt::spawn(async move {
                let good = match req.send().await {
                    Ok(mut res) => res.status().is_success() && res.body().await.is_ok(),
                    Err(_) => false,
                };
                (keyed, good, sent.elapsed())
            }));
        }
        let mut seen = Seen::new();
        for call in running {
            match call.await {
                Ok((true, true, took)) => record(&mut seen.with_key, took),
                Ok((false, true, took)) => record(&mut seen.without, took),
                _ => seen.failed += 1,
            }
        }
        seen
    })
}

/// Measures and prints; the last line holds the headline figures.
///
/// # Errors
///
/// The platform's counts cannot be read.
pub fn measure(o: &ClaimsOptions) -> Result<(), ClaimsError> {
    let system = actix_rt::System::new();
    let before = system.block_on(calls(&o.platform))?;
    let threads: Vec<_> = (0..o.threads)
        .map(|t| {
            let o = o.clone();
            thread::spawn(move || share(&o, t))
        })
        .collect();
    let mut seen = Seen::new();
    for t in threads {
        let Ok(share) = t.join() else { continue };
        // Histograms of the same bounds always add.
        let _ = seen.with_key.add(&share.with_key);
        let _ = seen.without.add(&share.without);
        seen.failed += share.failed;
    }
    let after = system.block_on(calls(&o.platform))?;
    let seconds = o.duration.as_secs_f64();
    let rate = |a: u64, b: u64| (a - b) as f64 / seconds;
    let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
    println!(
        "claims_per_s={:.0} failed={} with_key_p50_ms={:.2} with_key_p99_ms={:.2} without_p50_ms={:.2} without_p99_ms={:.2} \
         added_p50_ms={:.2} added_p99_ms={:.2} writes_per_s={:.1} reads_per_s={:.1} watches_per_s={:.1} limited={}",
        seen.with_key.len() as f64 / seconds,
        seen.failed,
        ms(&seen.with_key, 0.5),
        ms(&seen.with_key, 0.99),
        ms(&seen.without, 0.5),
        ms(&seen.without, 0.99),
        ms(&seen.with_key, 0.5) - ms(&seen.without, 0.5),
        ms(&seen.with_key, 0.99) - ms(&seen.without, 0.99),
        rate(after.writes, before.writes),
        rate(after.reads, before.reads),
        rate(after.watches, before.watches),
        after.limited - before.limited,
    );
    Ok(())
}
