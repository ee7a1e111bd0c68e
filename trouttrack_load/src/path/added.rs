//! The time that the gateway adds to each token.

use super::throughput::body;
use crate::client::{ClientError, Goal, Item, Stream, http};
use crate::record;
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hdrhistogram::Histogram;
use serde::Deserialize;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Tokens that a p99 takes; few streams are measured again and again.
const ENOUGH: u64 = 1000;

/// The parts of a handle that tell where the stream runs.
#[derive(Debug, Deserialize)]
struct HandlePart {
    upstream: String,
    stream: String,
}

/// Added times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Added {
    /// The median.
    pub p50: Duration,
    /// Not exceeded by 99 in 100.
    pub p99: Duration,
    /// Tokens measured.
    pub tokens: u64,
    /// Streams that could not be measured.
    pub failed: u64,
}

fn placed(handle: &str) -> Option<HandlePart> {
    let (body, _) = handle.split_once('.')?;
    serde_json::from_slice(&URL_SAFE_NO_PAD.decode(body).ok()?).ok()
}

/// Reads a stream; notes when each token after the first came.
async fn arrivals(mut stream: Stream, base: u64) -> Result<HashMap<u64, Instant>, ClientError> {
    let mut at = HashMap::new();
    let mut index = base;
    while let Some(item) = stream.next().await? {
        if let Item::Token(_) = item {
            at.insert(index, Instant::now());
            index += 1;
        }
    }
    Ok(at)
}

async fn one(
    gateway: &Goal,
    engines: &HashMap<String, String>,
    model: &str,
    number: usize,
    tokens: u64,
) -> Result<Vec<Duration>, ClientError> {
    let client = http();
    let body = body(model, number, tokens);
    let through = Stream::post(&client, gateway, "/v1/completions", &body).await?;
    let broken = |what: &str| ClientError::Broken(what.to_owned());
    let handle = through.resume.as_deref().and_then(placed);
    let handle = handle.ok_or_else(|| broken("no handle"))?;
    let url = engines.get(&handle.upstream);
    let direct = Goal {
        url: url.ok_or_else(|| broken("unknown engine"))?.clone(),
        key: None,
    };
    // Tokens that came before the second reader was attached are left out:
    // they would not have arrived on both at their time.
    const SKIP: u64 = 8;
    let path = format!("/v1/streams/{}?from={SKIP}", handle.stream);
    let direct = Stream::get(&client, &direct, &path).await?;
    let (through, direct) = futures_util::join!(arrivals(through, 0), arrivals(direct, SKIP));
    let (through, direct) = (through?, direct?);
    let added = direct.iter().filter_map(|(i, straight)| {
        let by_gateway = through.get(i)?;
        Some(by_gateway.saturating_duration_since(*straight))
    });
    Ok(added.collect())
}

/// Measures `streams` streams of `tokens` tokens at once, in this thread.
/// `engines` gives the engines' URLs by their names.
pub async fn added(
    gateway: &Goal,
    engines: &HashMap<String, String>,
    model: &str,
    streams: usize,
    tokens: u64,
) -> Added {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are within bounds");
    let mut failed = 0;
    while histogram.len() < ENOUGH && failed == 0 {
        let all = (0..streams).map(|i| one(gateway, engines, model, i, tokens));
        for result in futures_util::future::join_all(all).await {
            match result {
                Ok(times) => times.iter().for_each(|t| record(&mut histogram, *t)),
                Err(e) => {
                    eprintln!("{e}");
                    failed += 1;
                }
            }
        }
    }
    let at = |q| Duration::from_micros(histogram.value_at_quantile(q));
    Added {
        p50: at(0.5),
        p99: at(0.99),
        tokens: histogram.len(),
        failed,
    }
}
