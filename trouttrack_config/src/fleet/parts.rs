//! The form of a fleet in the platform's service: a root and its parts.

use super::types::{Evacuation, Fleet, Organisation, Rule, Service, Upstream, hex};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use thiserror::Error;
use trouttrack_core::ConfigVersion;

/// The most bytes of one part. Far below the limit of a megabyte: a change
/// writes a part anew, and every gateway receives it.
pub const MAX_PART: usize = 128 * 1024;

/// An immutable part, stored under the hash of its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// SHA-256 of `body` in hex.
    pub hash: String,
    /// JSON.
    pub body: String,
}

/// How the root names a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRef {
    /// `services`, `organisations`, `upstreams`, `rules` or `evacuations`.
    pub kind: String,
    /// The part's hash.
    pub hash: String,
}

/// The one object whose conditional update commits a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Root {
    /// Grows by one with each commit.
    pub version: ConfigVersion,
    /// The id of the change that made this version.
    pub change: String,
    /// Who made it.
    pub author: String,
    /// The parts in the order in which they are joined.
    pub parts: Vec<PartRef>,
    /// The last changes, newest first, this one included. A lost reply is
    /// resolved by looking for the change's id here.
    #[serde(default)]
    pub recent: Vec<ChangeRef>,
}

/// Changes that a root remembers.
pub const RECENT: usize = 128;

/// A committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRef {
    /// The version that it made.
    pub version: ConfigVersion,
    /// Its id.
    pub change: String,
    /// Who made it.
    pub author: String,
    /// What it did, in the operators' language.
    pub summary: String,
    /// When, in seconds since 1970.
    pub at: u64,
}

/// A root and its parts do not make a fleet.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum PartsError {
    /// A part that the root names is not there.
    #[error("part {0} is missing")]
    Missing(String),
    /// A part's content does not have the hash under which it is stored.
    #[error("part {0} does not match its hash")]
    Corrupt(String),
    /// A part cannot be read.
    #[error("part {hash} cannot be read: {source}")]
    Unreadable {
        /// Which part.
        hash: String,
        /// Why.
        source: serde_json::Error,
    },
    /// A kind that this version does not know.
    #[error("unknown kind of part `{0}`")]
    UnknownKind(String),
}

const SERVICES: &str = "services";
const ORGANISATIONS: &str = "organisations";
const UPSTREAMS: &str = "upstreams";
const RULES: &str = "rules";
const EVACUATIONS: &str = "evacuations";

/// Splits a fleet into parts of at most [`MAX_PART`] bytes (or one entity).
///
/// # Examples
///
/// ```
/// use trouttrack_config::fleet::{join, split, Fleet, Root};
/// let (refs, parts) = split(&Fleet::default());
/// let root = Root { parts: refs, ..Root::default() };
/// assert_eq!(join(&root, &parts).unwrap(), Fleet::default());
/// ```
#[must_use]
pub fn split(fleet: &Fleet) -> (Vec<PartRef>, Vec<Part>) {
    let mut fleet = fleet.clone();
    fleet.sort();
    let mut refs = Vec::new();
    let mut parts = Vec::new();
    split_kind(SERVICES, &fleet.services, &mut refs, &mut parts);
    split_kind(ORGANISATIONS, &fleet.organisations, &mut refs, &mut parts);
    split_kind(UPSTREAMS, &fleet.upstreams, &mut refs, &mut parts);
    split_kind(RULES, &fleet.rules, &mut refs, &mut parts);
    split_kind(EVACUATIONS, &fleet.evacuations, &mut refs, &mut parts);
    (refs, parts)
}

fn split_kind<T: Serialize>(
    kind: &str,
    entities: &[T],
    refs: &mut Vec<PartRef>,
    parts: &mut Vec<Part>,
) {
    let mut lines: Vec<String> = Vec::new();
    let mut size = 0;
    for entity in entities {
        let line = serde_json::to_string(entity).expect("fleet types serialise to JSON");
        if size + line.len() > MAX_PART && !lines.is_empty() {
            close_part(kind, &mut lines, refs, parts);
            size = 0;
        }
        size += line.len() + 1;
        lines.push(line);
    }
    if !lines.is_empty() {
        close_part(kind, &mut lines, refs, parts);
    }
}

fn close_part(kind: &str, lines: &mut Vec<String>, refs: &mut Vec<PartRef>, parts: &mut Vec<Part>) {
    let body = format!("[{}]", lines.join(","));
    lines.clear();
    let hash = hex(&Sha256::digest(body.as_bytes()));
    refs.push(PartRef {
        kind: kind.to_owned(),
        hash: hash.clone(),
    });
    parts.push(Part { hash, body });
}

/// Puts a fleet together.
///
/// # Errors
///
/// A part that is missing, corrupt or cannot be read.
pub fn join(root: &Root, parts: &[Part]) -> Result<Fleet, PartsError> {
    let by_hash: HashMap<&str, &Part> = parts.iter().map(|p| (p.hash.as_str(), p)).collect();
    let mut fleet = Fleet::default();
    for r in &root.parts {
        let part = by_hash
            .get(r.hash.as_str())
            .ok_or_else(|| PartsError::Missing(r.hash.clone()))?;
        if hex(&Sha256::digest(part.body.as_bytes())) != r.hash {
            return Err(PartsError::Corrupt(r.hash.clone()));
        }
        match r.kind.as_str() {
            SERVICES => fleet.services.extend(read::<Service>(part)?),
            ORGANISATIONS => fleet.organisations.extend(read::<Organisation>(part)?),
            UPSTREAMS => fleet.upstreams.extend(read::<Upstream>(part)?),
            RULES => fleet.rules.extend(read::<Rule>(part)?),
            EVACUATIONS => fleet.evacuations.extend(read::<Evacuation>(part)?),
            other => return Err(PartsError::UnknownKind(other.to_owned())),
        }
    }
    Ok(fleet)
}

fn read<T: DeserializeOwned>(part: &Part) -> Result<Vec<T>, PartsError> {
    serde_json::from_str(&part.body).map_err(|source| PartsError::Unreadable {
        hash: part.hash.clone(),
        source,
    })
}
