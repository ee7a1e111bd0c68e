//! JSON lines on standard output, bounded in volume, written by a thread of
//! their own so that no decision waits for a full pipe.

use logforth::layout::JsonLayout;
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Lines a second below warning: some ten for each of the few requests a
/// second that a VM of today's size takes.
const LINES_PER_SECOND: f64 = 150.0;
/// Lines a second from warning up. Their budget is their own, so that lines
/// about failures are kept when lines about successes are not.
const WARNINGS_PER_SECOND: f64 = 100.0;
/// Seconds' worth of lines that may come at once.
const BURST_SECONDS: f64 = 4.0;
/// Bytes that wait to be written; further lines are left out.
const MOST_WAITING: usize = 512 * 1024;
/// Pause between two writes: each wakes a thread.
const WRITE_EVERY: Duration = Duration::from_millis(250);

/// Counts the lines that were left out.
#[derive(Clone, Debug, Default)]
pub struct LinesDropped(Arc<AtomicU64>);

impl LinesDropped {
    /// How many so far.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// A budget of lines that fills up with time.
#[derive(Debug)]
struct Budget {
    per_second: f64,
    left: f64,
    at: Instant,
}

impl Budget {
    fn new(per_second: f64) -> Self {
        Self {
            per_second,
            left: per_second * BURST_SECONDS,
            at: Instant::now(),
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let new = now.duration_since(self.at).as_secs_f64() * self.per_second;
        self.left = (self.left + new).min(self.per_second * BURST_SECONDS);
        self.at = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

#[derive(Debug)]
struct Waiting {
    lines: Vec<u8>,
    ordinary: Budget,
    warnings: Budget,
}

/// The appender.
#[derive(Debug)]
pub struct BoundedStdout {
    layout: JsonLayout,
    waiting: Arc<Mutex<Waiting>>,
    dropped: LinesDropped,
}

impl Default for BoundedStdout {
    fn default() -> Self {
        Self::new()
    }
}

impl BoundedStdout {
    /// An appender, and the thread that writes for it.
    #[must_use]
    pub fn new() -> Self {
        let waiting = Arc::new(Mutex::new(Waiting {
            lines: Vec::new(),
            ordinary: Budget::new(LINES_PER_SECOND),
            warnings: Budget::new(WARNINGS_PER_SECOND),
        }));
        let of_writer = Arc::clone(&waiting);
        thread::spawn(move || {
            loop {
                thread::sleep(WRITE_EVERY);
                write_out(&of_writer);
            }
        });
        Self {
            layout: JsonLayout::default(),
            waiting,
            dropped: LinesDropped::default(),
        }
    }

    /// The count of lines left out.
    #[must_use]
    pub fn dropped(&self) -> LinesDropped {
        self.dropped.clone()
    }
}

fn lock(waiting: &Mutex<Waiting>) -> MutexGuard<'_, Waiting> {
    // A panic while holding the lock leaves the buffer usable.
    waiting.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write_out(waiting: &Mutex<Waiting>) {
    let lines = std::mem::take(&mut lock(waiting).lines);
    if lines.is_empty() {
        return;
    }
    let mut out = std::io::stdout().lock();
    // With nobody to read them, lines have nowhere else to go.
    drop(out.write_all(&lines).and_then(|()| out.flush()));
}

impl Append for BoundedStdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let now = Instant::now();
        {
            let mut waiting = lock(&self.waiting);
            let budget = match record.level() >= Level::Warn {
                true => &mut waiting.warnings,
                false => &mut waiting.ordinary,
            };
            if !budget.take(now) || waiting.lines.len() > MOST_WAITING {
                self.dropped.add();
                return Ok(());
            }
        }
        let line = self.layout.format(record, diags)?;
        let mut waiting = lock(&self.waiting);
        waiting.lines.extend_from_slice(&line);
        waiting.lines.push(b'\n');
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        write_out(&self.waiting);
        Ok(())
    }
}
