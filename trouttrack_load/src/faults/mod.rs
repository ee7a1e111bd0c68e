//! Mixed requests under faults, checked against the stand-ins' own books.
//!
//! The script around it kills and freezes processes. This part sends the
//! requests, does what a careful caller does (waits when told, comes back with
//! its handle, repeats with its key), and at the end compares what callers
//! were told with what really ran.

mod books;
mod caller;
mod check;
mod disturb;

pub use books::{Books, BooksError};
pub use caller::{Kind, Told};
pub use check::{Tally, tally};

use crate::client::Goal;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::path::PathBuf;
use std::time::Duration;

/// What is sent and where.
#[derive(Clone, Debug)]
pub struct FaultsOptions {
    /// Gateways.
    pub gateways: Vec<Goal>,
    /// Engine stand-ins, to be disturbed.
    pub engines: Vec<String>,
    /// Plain stand-ins, to be disturbed.
    pub plains: Vec<String>,
    /// The platform stand-in, to be disturbed.
    pub platform: String,
    /// The stand-ins' books.
    pub ledgers: Vec<PathBuf>,
    /// Requests in all.
    pub requests: usize,
    /// Requests a second.
    pub rate: f64,
    /// Seed of the requests and disturbances.
    pub seed: u64,
}

/// Sends everything and checks. Returns the tally.
///
/// # Errors
///
/// The books cannot be read.
pub fn run(o: &FaultsOptions) -> Result<Tally, BooksError> {
    let told = actix_rt::System::new().block_on(send_all(o));
    let books = Books::read(&o.ledgers)?;
    Ok(tally(&told, &books))
}

async fn send_all(o: &FaultsOptions) -> Vec<Told> {
    let mut rng = SmallRng::seed_from_u64(o.seed);
    let disturbances = actix_rt::spawn(disturb::disturb(o.clone()));
    let mut running = Vec::new();
    for number in 0..o.requests {
        let gap = -(1.0 - rng.random::<f64>()).ln() / o.rate;
        tokio::time::sleep(Duration::from_secs_f64(gap)).await;
        let request = caller::Request {
            number,
            kind: Kind::ALL[rng.random_range(0..Kind::ALL.len())],
            tokens: rng.random_range(3..90),
            keyed: rng.random_bool(0.5),
            first: rng.random_range(0..o.gateways.len()),
        };
        let gateways = o.gateways.clone();
        running.push(actix_rt::spawn(caller::run(gateways, request)));
    }
    let mut told = Vec::new();
    for (number, caller) in running.into_iter().enumerate() {
        told.push(caller.await.unwrap_or_else(|_| Told::nothing(number)));
    }
    disturbances.abort();
    told
}
