//! What control costs: how long a change takes to be in force everywhere, and
//! what gateways that serve nothing use meanwhile.

use crate::client::http;
use crate::process::{Usage, usage};
use awc::Client;
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The measurement cannot be made.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ControlError {
    /// A call failed.
    #[error("{0}: {1}")]
    Call(String, String),
    /// A change was not in force everywhere when it was answered.
    #[error("a change was answered with {0}")]
    NotInForce(Value),
}

/// What is measured.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// The administration API.
    pub admin: String,
    /// An operator's key.
    pub key: String,
    /// The platform stand-in.
    pub platform: String,
    /// The gateways' processes.
    pub pids: Vec<u32>,
    /// Changes that are made, one after the other.
    pub changes: usize,
    /// How long the idle use is measured.
    pub idle: Duration,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Calls {
    reads: u64,
    writes: u64,
    watches: u64,
}

impl Calls {
    fn all(self) -> u64 {
        self.reads + self.writes + self.watches
    }
}

/// What was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Control {
    /// From a change's request to its answer that it is in force everywhere.
    pub in_force_p50: Duration,
    /// The same, not exceeded by 99 in 100.
    pub in_force_p99: Duration,
    /// Calls to the platform for each change.
    pub calls_per_change: f64,
    /// Calls to the platform a second, without changes.
    pub calls_per_s: f64,
    /// Bytes a second and VM on the wire, without changes.
    pub bytes_per_s: f64,
    /// Bytes on the wire for each change and VM.
    pub bytes_per_change: f64,
    /// Processor time of a gateway, in percent of a core, without changes.
    pub cpu_percent: f64,
    /// Processor time of a gateway for each change.
    pub cpu_per_change: Duration,
    /// Memory of a gateway, in bytes.
    pub rss: u64,
}

fn failed(what: &str) -> impl Fn(String) -> ControlError + '_ {
    move |e| ControlError::Call(what.to_owned(), e)
}

async fn calls(client: &Client, platform: &str) -> Result<Calls, ControlError> {
    let url = format!("{platform}/standin/calls");
    let wrong = failed(&url);
    let mut res = client
        .get(&url)
        .send()
        .await
        .map_err(|e| wrong(e.to_string()))?;
    res.json().await.map_err(|e| wrong(e.to_string()))
}

/// Bytes that went over the loopback interface since the start.
fn wire() -> u64 {
    const SENT: usize = 8;
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|l| l.trim_start().starts_with("lo:"));
    let fields = line.and_then(|l| l.split_once(':'));
    fields
        .and_then(|(_, rest)| rest.split_whitespace().nth(SENT)?.parse().ok())
        .unwrap_or(0)
}

fn all_usage(pids: &[u32]) -> Usage {
    pids.iter()
        .map(|p| usage(*p))
        .fold(Usage::default(), |a, b| Usage {
            cpu: a.cpu + b.cpu,
            rss: a.rss.max(b.rss),
        })
}

async fn change(
    client: &Client,
    o: &ControlOptions,
    number: usize,
) -> Result<Duration, ControlError> {
    let url = format!("{}/v1/command", o.admin);
    let wrong = failed(&url);
    let text = format!("set organisation o0 weight={}", number + 2);
    let start = Instant::now();
    let req = client.post(&url).bearer_auth(&o.key);
    let sent = req.send_json(&json!({ "text": text })).await;
    let mut res = sent.map_err(|e| wrong(e.to_string()))?;
    let answer: Value = res
        .json()
        .limit(1 << 22)
        .await
        .map_err(|e| wrong(e.to_string()))?;
    let took = start.elapsed();
    let everywhere = answer["in_force"].as_array().map_or(0, Vec::len) == o.pids.len();
    match everywhere && answer["outcome"] == "in-force" {
        true => Ok(took),
        false => Err(ControlError::NotInForce(answer)),
    }
}

/// Measures.
///
/// # Errors
///
/// A call failed, or a change was not in force everywhere.
pub async fn measure(o: &ControlOptions) -> Result<Control, ControlError> {
    let client = http();
    let vms = o.pids.len().max(1) as f64;
    let (calls_0, wire_0, use_0) = (
        calls(&client, &o.platform).await?,
        wire(),
        all_usage(&o.pids),
    );
    tokio::time::sleep(o.idle).await;
    let (calls_1, wire_1, use_1) = (
        calls(&client, &o.platform).await?,
        wire(),
        all_usage(&o.pids),
    );
    let mut times = Vec::new();
    let start = Instant::now();
    for number in 0..o.changes {
        times.push(change(&client, o, number).await?);
    }
    let changing = start.elapsed().as_secs_f64();
    let (calls_2, wire_2, use_2) = (
        calls(&client, &o.platform).await?,
        wire(),
        all_usage(&o.pids),
    );
    times.sort_unstable();
    let idle = o.idle.as_secs_f64();
    let calls_per_s = (calls_1.all() - calls_0.all()) as f64 / idle;
    let bytes_per_s = (wire_1 - wire_0) as f64 / idle / vms;
    let cpu = (use_1.cpu - use_0.cpu).as_secs_f64() / idle / vms;
    let changes = o.changes.max(1) as f64;
    let each = |total: f64, a_second: f64| ((total - a_second * changing) / changes).max(0.0);
    let at = |q: usize| times.get((times.len() * q / 100).min(times.len().saturating_sub(1)));
    Ok(Control {
        in_force_p50: at(50).copied().unwrap_or_default(),
        in_force_p99: at(99).copied().unwrap_or_default(),
        calls_per_change: each((calls_2.all() - calls_1.all()) as f64, calls_per_s),
        calls_per_s,
        bytes_per_s,
        bytes_per_change: each((wire_2 - wire_1) as f64 / vms, bytes_per_s),
        cpu_percent: cpu * 100.0,
        cpu_per_change: Duration::from_secs_f64(each(
            (use_2.cpu - use_1.cpu).as_secs_f64() / vms,
            cpu,
        )),
        rss: use_2.rss,
    })
}
