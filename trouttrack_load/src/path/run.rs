//! The whole measurement.

use super::added::added;
use super::throughput::{Throughput, throughput};
use crate::client::Goal;
use std::collections::HashMap;
use thiserror::Error;

/// The measurement cannot be made.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum PathError {
    /// An engine is not given as `NAME=URL`.
    #[error("`{0}` is not NAME=URL")]
    Engine(String),
    /// Streams failed, so the figures mean nothing.
    #[error("{0} streams failed")]
    Failed(u64),
}

/// What is measured against what.
#[derive(Clone, Debug)]
pub struct PathOptions {
    /// The gateway.
    pub gateway: Goal,
    /// Its process.
    pub gateway_pid: u32,
    /// The service asked for at the gateway.
    pub service: String,
    /// Engines with a pace, `NAME=URL`.
    pub paced: Vec<String>,
    /// Engines as fast as they can be, `NAME=URL`.
    pub fast: Vec<String>,
    /// The service that the fast engines run.
    pub fast_service: String,
    /// Numbers of streams at once.
    pub streams: Vec<usize>,
    /// Threads of the client.
    pub threads: usize,
}

const PACED_TOKENS: u64 = 200;
const FAST_TOKENS: u64 = 400;
/// Rounds of each way, in turn; the median counts.
const ROUNDS: usize = 3;

fn named(list: &[String]) -> Result<HashMap<String, String>, PathError> {
    list.iter()
        .map(|e| {
            let pair = e.split_once('=');
            let (name, url) = pair.ok_or_else(|| PathError::Engine(e.clone()))?;
            Ok((name.to_owned(), url.to_owned()))
        })
        .collect()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn check(t: Throughput) -> Result<Throughput, PathError> {
    match t.failed {
        0 => Ok(t),
        n => Err(PathError::Failed(n)),
    }
}

/// Measures and prints; the last line holds the headline figures.
///
/// # Errors
///
/// The options are wrong, or streams failed.
pub fn measure(o: &PathOptions) -> Result<(), PathError> {
    let paced = named(&o.paced)?;
    let fast = named(&o.fast)?;
    let goals = |engines: &HashMap<String, String>| -> Vec<Goal> {
        let mut urls: Vec<&String> = engines.values().collect();
        urls.sort();
        let goal = |url: &String| Goal {
            url: url.clone(),
            key: None,
        };
        urls.into_iter().map(goal).collect()
    };
    let gateway = [o.gateway.clone()];
    let pid = Some(o.gateway_pid);
    let idle = crate::process::usage(o.gateway_pid).rss;
    println!(
        "paced engines: tokens/s through the gateway against straight, and added time a token"
    );
    let (mut worst_ratio, mut worst_p99) = (f64::MAX, 0.0f64);
    for &n in &o.streams {
        let mut ratios = Vec::new();
        let mut last = Throughput::default();
        for _ in 0..ROUNDS {
            let straight = check(throughput(
                &goals(&paced),
                &o.service,
                n,
                PACED_TOKENS,
                o.threads,
                None,
            ))?;
            last = check(throughput(
                &gateway,
                &o.service,
                n,
                PACED_TOKENS,
                o.threads,
                pid,
            ))?;
            ratios.push(last.rate() / straight.rate());
        }
        let system = actix_rt::System::new();
        let a = system.block_on(added(&o.gateway, &paced, &o.service, n, PACED_TOKENS));
        if a.failed > 0 {
            return Err(PathError::Failed(a.failed));
        }
        let ratio = median(ratios);
        let p99 = a.p99.as_secs_f64() * 1e6;
        worst_ratio = worst_ratio.min(ratio);
        worst_p99 = worst_p99.max(p99);
        println!(
            "streams={n} ratio={ratio:.3} tokens_per_s={:.0} added_p50_us={:.0} added_p99_us={p99:.0} cpu_us_per_token={:.1} memory_kib_per_stream={:.1}",
            last.rate(),
            a.p50.as_secs_f64() * 1e6,
            1e6 / last.per_core(),
            (last.rss.saturating_sub(idle)) as f64 / 1024.0 / n as f64,
        );
    }
    println!("fast engines: tokens for each second of the gateway's processor time");
    let most = o.streams.iter().copied().max().unwrap_or(1);
    let mut per_core = Vec::new();
    for _ in 0..ROUNDS {
        let straight = check(throughput(
            &goals(&fast),
            &o.fast_service,
            most,
            FAST_TOKENS,
            o.threads,
            None,
        ))?;
        let t = check(throughput(
            &gateway,
            &o.fast_service,
            most,
            FAST_TOKENS,
            o.threads,
            pid,
        ))?;
        println!(
            "streams={most} tokens_per_s={:.0} straight_tokens_per_s={:.0} tokens_per_core_s={:.0}",
            t.rate(),
            straight.rate(),
            t.per_core()
        );
        per_core.push(t.per_core());
    }
    println!(
        "ratio={worst_ratio:.3} added_p99_us={worst_p99:.0} tokens_per_core_s={:.0}",
        median(per_core)
    );
    Ok(())
}
