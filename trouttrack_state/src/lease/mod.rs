//! Holding a lease in the platform's service.

use crate::client::{Condition, ObjectClient, PlatformError, Write};
use bytes::Bytes;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::lease::{HeldLease, LeaseRecord, ObservedLease};

/// How long a write tries to find out what became of a lost reply; the holder
/// does not act meanwhile past its time.
const PATIENCE: Duration = Duration::from_secs(1);

/// Acquires, renews and loses one lease.
#[derive(Debug)]
pub struct LeaseKeeper {
    client: ObjectClient,
    key: String,
    name: String,
    duration: Duration,
    held: Option<HeldLease>,
    observed: ObservedLease,
}

/// What changed in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// Nothing.
    None,
    /// It is held now.
    Won,
    /// It is not held any more.
    Lost,
}

impl LeaseKeeper {
    /// A keeper of `leases/LEASE` for the process `name`.
    #[must_use]
    pub fn new(client: ObjectClient, lease: &str, name: &str, duration: Duration) -> Self {
        Self {
            client,
            key: format!("leases/{lease}"),
            name: name.to_owned(),
            duration,
            held: None,
            observed: ObservedLease::default(),
        }
    }

    /// The lease, if the holder may act at `now`. It is asked for again just
    /// before each thing that is done under it.
    #[must_use]
    pub fn acting(&self, now: Time) -> Option<&HeldLease> {
        self.held.as_ref().filter(|h| h.may_act(now))
    }

    /// Renews, or tries to take the lease over. `clock` gives the own
    /// monotonic time.
    ///
    /// # Errors
    ///
    /// The platform gave no answer; what is held is held until its time.
    pub async fn step(&mut self, clock: impl Fn() -> Time) -> Result<LeaseChange, PlatformError> {
        let now = clock();
        match self.held.take() {
            Some(held) if !held.may_act(now) => {
                // The time has passed, perhaps while this process was paused.
                self.observed = ObservedLease::default();
                Ok(LeaseChange::Lost)
            }
            Some(held) if held.renew_due(now) => self.renew(held, now).await,
            Some(held) => {
                self.held = Some(held);
                Ok(LeaseChange::None)
            }
            None => self.take_over(now).await,
        }
    }

    async fn renew(&mut self, held: HeldLease, now: Time) -> Result<LeaseChange, PlatformError> {
        let record = held.record.clone();
        let written = self.write(Condition::Version(held.version), &record).await;
        match written {
            Ok(Write::Done(version)) => {
                self.held = Some(HeldLease {
                    version,
                    record,
                    sent_at: now,
                });
                Ok(LeaseChange::None)
            }
            Ok(Write::Refused(_)) => Ok(LeaseChange::Lost),
            Err(e) => {
                self.held = Some(held);
                Err(e)
            }
        }
    }

    async fn take_over(&mut self, now: Time) -> Result<LeaseChange, PlatformError> {
        let object = self.client.get(&self.key).await?;
        let (condition, epoch) = match &object {
            None => (Condition::Absent, 1),
            Some(o) => match serde_json::from_slice::<LeaseRecord>(&o.body) {
                Ok(record) if !self.observed.observe(now, o.version, &record) => {
                    return Ok(LeaseChange::None);
                }
                Ok(record) => (Condition::Version(o.version), record.epoch + 1),
                // What cannot be read holds nobody; it is replaced.
                Err(_) => (Condition::Version(o.version), 1),
            },
        };
        let record = LeaseRecord {
            holder: self.name.clone(),
            epoch,
            duration_ms: self.duration.as_millis() as u64,
        };
        match self.write(condition, &record).await? {
            Write::Done(version) => {
                self.held = Some(HeldLease {
                    version,
                    record,
                    sent_at: now,
                });
                Ok(LeaseChange::Won)
            }
            Write::Refused(_) => Ok(LeaseChange::None),
        }
    }

    async fn write(
        &self,
        condition: Condition,
        record: &LeaseRecord,
    ) -> Result<Write, PlatformError> {
        let body = Bytes::from(serde_json::to_vec(record).expect("a lease serialises to JSON"));
        let same = body.clone();
        self.client
            .settle(&self.key, condition, body, PATIENCE, move |now| {
                *now == same
            })
            .await
    }

    /// Gives the lease up, so that another need not wait for its end.
    pub async fn release(&mut self) {
        if let Some(held) = self.held.take() {
            let record = LeaseRecord {
                duration_ms: 0,
                ..held.record
            };
            // Without an answer it ends by itself.
            let _ = self.write(Condition::Version(held.version), &record).await;
        }
    }
}
