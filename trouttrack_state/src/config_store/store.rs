//! Reading and committing.

use crate::client::{Condition, ObjectClient, PlatformError, Write};
use bytes::Bytes;
use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use trouttrack_config::fleet::{
    ChangeRef, Fleet, FleetView, Part, PartsError, RECENT, Root, join, split,
};

const ROOT: &str = "config/root";
/// How long a commit tries to find out what became of a lost reply.
const PATIENCE: Duration = Duration::from_secs(5);

fn part_key(hash: &str) -> String {
    format!("config/parts/{hash}")
}

fn change_key(change: &str) -> String {
    format!("config/changes/{change}")
}

/// The configuration cannot be read or written.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StoreError {
    /// The platform gave no answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// What is stored does not make a fleet.
    #[error(transparent)]
    Parts(#[from] PartsError),
    /// The root cannot be read.
    #[error("{ROOT} cannot be read: {0}")]
    Root(#[from] serde_json::Error),
}

/// The root as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// Version of the object; 0 if there is none yet.
    pub object_version: u64,
    /// Its content.
    pub root: Root,
}

/// A change that is to be committed.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// An id that no other change has.
    pub change: String,
    /// Who makes it.
    pub author: String,
    /// What it does, in the operators' language.
    pub summary: String,
    /// The whole new configuration.
    pub fleet: Fleet,
}

/// How a commit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It is the configuration from now on.
    Done(Root),
    /// Another change came first; this one is not in force and never will be.
    Conflict(Root),
    /// Nothing was written; the platform does not answer.
    NotWritten(String),
    /// The write may or may not take effect; the change's id will be in
    /// `recent` of a later root if it does.
    Unsettled(String),
}

/// Reads and commits configurations.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    client: ObjectClient,
}

impl ConfigStore {
    /// A store behind a client.
    #[must_use]
    pub fn new(client: ObjectClient) -> Self {
        Self { client }
    }

    /// The client, for other calls.
    #[must_use]
    pub fn client(&self) -> &ObjectClient {
        &self.client
    }

    /// Reads the root.
    ///
    /// # Errors
    ///
    /// The platform gave no answer, or the root cannot be read.
    pub async fn root(&self) -> Result<Stored, StoreError> {
        match self.client.get(ROOT).await? {
            None => Ok(Stored::default()),
            Some(o) => Ok(Stored {
                object_version: o.version,
                root: serde_json::from_slice(&o.body)?,
            }),
        }
    }

    /// Waits up to `wait` for a root newer than an object version, and
    /// returns the revision from which to wait next.
    ///
    /// # Errors
    ///
    /// The platform gave no answer.
    pub async fn wait(&self, since: u64, wait: Duration) -> Result<u64, StoreError> {
        let changes = self.client.watch(ROOT, since, wait).await?;
        Ok(changes.revision)
    }

    /// Reads the parts that a root names; those in `known` are not read again.
    ///
    /// # Errors
    ///
    /// The platform gave no answer, or a part is missing or corrupt.
    pub async fn parts(&self, root: &Root, known: &[Part]) -> Result<Vec<Part>, StoreError> {
        let known: HashMap<&str, &Part> = known.iter().map(|p| (p.hash.as_str(), p)).collect();
        let mut parts = Vec::with_capacity(root.parts.len());
        for r in &root.parts {
            let part = match known.get(r.hash.as_str()) {
                Some(part) => (*part).clone(),
                None => self.part(&r.hash).await?,
            };
            parts.push(part);
        }
        Ok(parts)
    }

    async fn part(&self, hash: &str) -> Result<Part, StoreError> {
        let object = self.client.get(&part_key(hash)).await?;
        let object = object.ok_or_else(|| PartsError::Missing(hash.to_owned()))?;
        Ok(Part {
            hash: hash.to_owned(),
            body: String::from_utf8_lossy(&object.body).into_owned(),
        })
    }

    /// Reads a whole configuration.
    ///
    /// # Errors
    ///
    /// As for [`parts`](Self::parts).
    pub async fn view(&self, root: &Root, known: &[Part]) -> Result<FleetView, StoreError> {
        let parts = self.parts(root, known).await?;
        Ok(FleetView::new(root.clone(), join(root, &parts)?))
    }

    /// The root that a past change made.
    ///
    /// # Errors
    ///
    /// The platform gave no answer, or the object cannot be read.
    pub async fn past(&self, change: &str) -> Result<Option<Root>, StoreError> {
        match self.client.get(&change_key(change)).await? {
            None => Ok(None),
            Some(o) => Ok(Some(serde_json::from_slice(&o.body)?)),
        }
    }

    /// Commits a change on top of `base`, or says why not.
    pub async fn commit(&self, base: &Stored, proposal: &Proposal) -> Commit {
        let (refs, parts) = split(&proposal.fleet);
        let root = next_root(&base.root, proposal, refs);
        let body = Bytes::from(serde_json::to_vec(&root).expect("a root serialises to JSON"));
        let new = parts
            .into_iter()
            .filter(|p| !base.root.parts.iter().any(|r| r.hash == p.hash))
            .collect::<Vec<_>>();
        if let Err(e) = self.stage(&root, &new, &body).await {
            return Commit::NotWritten(e.to_string());
        }
        let condition = match base.object_version {
            0 => Condition::Absent,
            v => Condition::Version(v),
        };
        let ours = |body: &Bytes| holds_change(body, &proposal.change);
        let settled = self
            .client
            .settle(ROOT, condition, body, PATIENCE, ours)
            .await;
        match settled {
            Ok(Write::Done(_)) => Commit::Done(root),
            Ok(Write::Refused(_)) => Commit::Conflict(self.current(base).await),
            Err(e) if e.had_no_effect() => Commit::NotWritten(e.to_string()),
            Err(e) => Commit::Unsettled(e.to_string()),
        }
    }

    async fn current(&self, base: &Stored) -> Root {
        // Best effort: the refusal stands even if the newer root cannot be read.
        match self.root().await {
            Ok(stored) => stored.root,
            Err(_) => base.root.clone(),
        }
    }

    /// Writes the parts and the change's object. An object that exists holds
    /// the same content, because its key is the hash or the change's own id.
    async fn stage(&self, root: &Root, parts: &[Part], body: &Bytes) -> Result<(), PlatformError> {
        for p in parts {
            let content = Bytes::from(p.body.clone());
            self.put_once(&part_key(&p.hash), content).await?;
        }
        self.put_once(&change_key(&root.change), body.clone()).await
    }

    async fn put_once(&self, key: &str, body: Bytes) -> Result<(), PlatformError> {
        let same = |_: &Bytes| true;
        self.client
            .settle(key, Condition::Absent, body, PATIENCE, same)
            .await
            .map(|_| ())
    }
}

fn next_root(
    base: &Root,
    proposal: &Proposal,
    parts: Vec<trouttrack_config::fleet::PartRef>,
) -> Root {
    let version = base.version + 1;
    let at = SystemTime::now().duration_since(UNIX_EPOCH);
    let change = ChangeRef {
        version,
        change: proposal.change.clone(),
        author: proposal.author.clone(),
        summary: proposal.summary.clone(),
        at: at.map_or(0, |d| d.as_secs()),
    };
    let mut recent = vec![change];
    recent.extend(base.recent.iter().take(RECENT - 1).cloned());
    Root {
        version,
        change: proposal.change.clone(),
        author: proposal.author.clone(),
        parts,
        recent,
    }
}

fn holds_change(body: &Bytes, change: &str) -> bool {
    let root: Result<Root, _> = serde_json::from_slice(body);
    root.is_ok_and(|r| r.recent.iter().any(|c| c.change == change))
}
