//! The task that acts for one shard: reads its buckets, writes batches.

use bytes::Bytes;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use trouttrack_core::claims::{
    Bucket, Claim, ClaimDecision, ClaimShard, ClaimWrite, ShardLimits, Slot,
};
use trouttrack_rpc::ClaimAnswer;
use trouttrack_state::client::PlatformError;
use trouttrack_state::{Condition, ObjectClient, Write};

/// The most claims in one write.
const BATCH: usize = 1000;
/// How long a write tries to find out what became of a lost reply.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Rounds in which another process wrote first, before the batch is given up.
const ROUNDS: usize = 8;
/// The pause after a write of a shard, in which the next batch gathers. A claim
/// that comes to an idle shard is written at once.
const PACE: Duration = Duration::from_millis(40);

const NO_ROOM: &str = "the ring of claims is full";

/// One claim that waits for its answer.
#[derive(Debug)]
pub(super) struct Asked {
    pub(super) claim: Claim,
    /// The claim that is to be taken over, if one is.
    pub(super) given_up: Option<Claim>,
    pub(super) reply: oneshot::Sender<ClaimAnswer>,
}

struct Task {
    shard: u32,
    client: ObjectClient,
    state: ClaimShard,
    fresh: bool,
}

fn unix_now() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}

/// Acts for a shard for as long as claims can come.
pub(super) async fn run(shard: u32, client: ObjectClient, mut asked: mpsc::Receiver<Asked>) {
    let mut task = Task {
        shard,
        client,
        state: ClaimShard::new(ShardLimits::default()),
        fresh: false,
    };
    let mut batch = Vec::new();
    while asked.recv_many(&mut batch, BATCH).await > 0 {
        task.decide(std::mem::take(&mut batch)).await;
        tokio::time::sleep(PACE).await;
    }
}

impl Task {
    fn prefix(&self) -> String {
        format!("claims/{}/", self.shard)
    }

    fn key(&self, slot: Slot) -> String {
        format!("claims/{}/{slot:04}", self.shard)
    }

    async fn decide(&mut self, batch: Vec<Asked>) {
        let (take_overs, claims): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|a| a.given_up.is_some());
        if !claims.is_empty() {
            self.decide_claims(claims).await;
        }
        for asked in take_overs {
            self.decide_take_over(asked).await;
        }
    }

    async fn decide_claims(&mut self, batch: Vec<Asked>) {
        let claims: Vec<Claim> = batch.iter().map(|a| a.claim.clone()).collect();
        let decided = self.claim(&claims).await;
        for (i, asked) in batch.into_iter().enumerate() {
            let answer = match &decided {
                Ok(all) => match &all[i] {
                    ClaimDecision::Ours => ClaimAnswer::Won,
                    ClaimDecision::Known(claim) => ClaimAnswer::Known(claim.clone()),
                    ClaimDecision::RingFull => ClaimAnswer::Unconfirmed(NO_ROOM.to_owned()),
                },
                Err(e) => ClaimAnswer::Unconfirmed(e.clone()),
            };
            // Nobody waits any more if the caller went away.
            let _ = asked.reply.send(answer);
        }
    }

    /// Decides and writes, reading anew whenever another process wrote first.
    async fn claim(&mut self, claims: &[Claim]) -> Result<Vec<ClaimDecision>, String> {
        for _ in 0..ROUNDS {
            self.refresh().await.map_err(|e| e.to_string())?;
            let (decided, plan) = self.state.plan(unix_now(), claims);
            let Some(plan) = plan else {
                return Ok(decided);
            };
            if self.write(&plan).await.map_err(|e| e.to_string())? {
                return Ok(decided);
            }
        }
        Err("other processes wrote first, again and again".to_owned())
    }

    async fn decide_take_over(&mut self, asked: Asked) {
        let answer = self.take_over(&asked).await;
        let answer = answer.unwrap_or_else(|e| ClaimAnswer::Unconfirmed(e.to_string()));
        let _ = asked.reply.send(answer);
    }

    async fn take_over(&mut self, asked: &Asked) -> Result<ClaimAnswer, PlatformError> {
        let Some(given_up) = &asked.given_up else {
            return Ok(ClaimAnswer::Unconfirmed("nothing to take over".to_owned()));
        };
        self.fresh = false;
        self.refresh().await?;
        let plan = self.state.take_over(unix_now(), given_up, &asked.claim);
        if let Some(plan) = plan
            && self.write(&plan).await?
        {
            return Ok(ClaimAnswer::Won);
        }
        self.refresh().await?;
        Ok(match self.state.claim(&asked.claim.key) {
            Some(claim) if *claim == asked.claim => ClaimAnswer::Won,
            Some(claim) => ClaimAnswer::Known(claim.clone()),
            None => ClaimAnswer::Unconfirmed("the claim is not there".to_owned()),
        })
    }

    /// Writes a bucket. `false` if another process wrote first.
    async fn write(&mut self, plan: &ClaimWrite) -> Result<bool, PlatformError> {
        let body = serde_json::to_vec(&plan.bucket).expect("a bucket serialises to JSON");
        let condition = match plan.version {
            Some(version) => Condition::Version(version),
            None => Condition::Absent,
        };
        let ours = |body: &Bytes| {
            let now: Result<Bucket, _> = serde_json::from_slice(body);
            // Others append; what we wrote stays in its place.
            now.is_ok_and(|b| {
                b.number == plan.bucket.number && b.claims.starts_with(&plan.bucket.claims)
            })
        };
        let key = self.key(plan.slot);
        let write = self
            .client
            .settle(&key, condition, Bytes::from(body), PATIENCE, ours)
            .await;
        match write {
            Ok(Write::Done(version)) => {
                self.state.written(plan, version);
                Ok(true)
            }
            Ok(Write::Refused(_)) => {
                self.fresh = false;
                Ok(false)
            }
            Err(e) => {
                self.fresh = false;
                Err(e)
            }
        }
    }

    /// Reads what is not known of the shard. While this process alone writes,
    /// its writes succeed and nothing has to be read.
    async fn refresh(&mut self) -> Result<(), PlatformError> {
        if self.fresh {
            return Ok(());
        }
        let listed = self.client.list(&self.prefix()).await?;
        for change in listed.changes {
            let slot = change.key.rsplit('/').next();
            let Some(slot) = slot.and_then(|n| n.parse::<Slot>().ok()) else {
                continue;
            };
            if change.version <= self.state.version(slot) {
                continue;
            }
            if let Some(object) = self.client.get(&change.key).await?
                && let Ok(bucket) = serde_json::from_slice(&object.body)
            {
                self.state.read(slot, object.version, bucket);
            }
        }
        self.fresh = true;
        Ok(())
    }
}
