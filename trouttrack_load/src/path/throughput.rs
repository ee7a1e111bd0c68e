//! Tokens a second of many streams.

use crate::client::{ClientError, Goal, Stream, http, read_all};
use crate::process::usage;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// What a run of streams brought.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Throughput {
    /// Tokens that came.
    pub tokens: u64,
    /// Streams that failed.
    pub failed: u64,
    /// How long it took.
    pub took: Duration,
    /// Processor time of the watched process.
    pub cpu: Duration,
    /// Largest memory of the watched process, in bytes.
    pub rss: u64,
}

impl Throughput {
    /// Tokens a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.tokens as f64 / self.took.as_secs_f64().max(1e-9)
    }

    /// Tokens for each second of the watched process's processor time.
    #[must_use]
    pub fn per_core(&self) -> f64 {
        self.tokens as f64 / self.cpu.as_secs_f64().max(1e-9)
    }
}

/// The body of one stream's request.
#[must_use]
pub(super) fn body(model: &str, stream: usize, tokens: u64) -> Value {
    json!({
        "model": model,
        "prompt": format!("path bench {stream} [tokens={tokens}]"),
        "stream": true,
        "max_tokens": tokens,
    })
}

async fn one(goal: &Goal, body: &Value) -> Result<u64, ClientError> {
    let mut stream = Stream::post(&http(), goal, "/v1/completions", body).await?;
    let timed = read_all(&mut stream, |_| {}).await?;
    Ok(timed.at.len() as u64)
}

/// Runs `streams` streams of `tokens` tokens at once, spread over the goals
/// and over `threads` threads. `watch` is the process whose use is measured.
#[must_use]
pub fn throughput(
    goals: &[Goal],
    model: &str,
    streams: usize,
    tokens: u64,
    threads: usize,
    watch: Option<u32>,
) -> Throughput {
    let done = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let use_of = || watch.map(usage).unwrap_or_default();
    let before = use_of();
    let start = Instant::now();
    let workers: Vec<_> = (0..threads)
        .map(|t| {
            let (done, failed) = (Arc::clone(&done), Arc::clone(&failed));
            let goals = goals.to_vec();
            let model = model.to_owned();
            let mine: Vec<usize> = (t..streams).step_by(threads).collect();
            thread::spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let all = mine.into_iter().map(async |i| {
                        let body = body(&model, i, tokens);
                        match one(&goals[i % goals.len()], &body).await {
                            Ok(n) => done.fetch_add(n, Ordering::Relaxed),
                            Err(e) => {
                                eprintln!("stream {i}: {e}");
                                failed.fetch_add(1, Ordering::Relaxed)
                            }
                        };
                    });
                    futures_util::future::join_all(all).await;
                });
            })
        })
        .collect();
    let mut rss = 0;
    const LOOK: Duration = Duration::from_millis(20);
    while workers.iter().any(|w| !w.is_finished()) {
        rss = rss.max(use_of().rss);
        thread::sleep(LOOK);
    }
    let took = start.elapsed();
    let after = use_of();
    Throughput {
        tokens: done.load(Ordering::Relaxed),
        failed: failed.load(Ordering::Relaxed),
        took,
        cpu: after.cpu.saturating_sub(before.cpu),
        rss,
    }
}
