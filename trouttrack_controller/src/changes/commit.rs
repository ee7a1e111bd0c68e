//! The way of a change: checked, staged, committed, in force.
//!
//! 1. The newest configuration is read and the change applied to it; what is
//!    wrong is reported whole.
//! 2. Every gateway that answers checks that it could load the result. One
//!    that does not answer (its failure domain is cut off, say) does not hold
//!    the change up: it goes on with what it has and takes the newest version
//!    when it is back.
//! 3. One conditional update of the root commits it.
//! 4. The result is offered to every gateway; the answer says who has it.

use super::answer::{ChangeAnswer, ChangeOutcome, ChangeState};
use super::current::Current;
use crate::gateways::{Answer, Gateways};
use std::time::{Duration, Instant};
use trouttrack_config::fleet::{Change, Fleet, Part, Root, split};
use trouttrack_core::ConfigVersion;
use trouttrack_rpc::ConfigBundle;
use trouttrack_state::config_store::{Commit, ConfigStore, Proposal, StoreError};
use trouttrack_telemetry::events;
use uuid::Uuid;

const POLL: Duration = Duration::from_millis(50);

/// Commits changes.
#[derive(Clone, Debug)]
pub struct Committer {
    /// The configuration in the platform's service.
    pub store: ConfigStore,
    /// The gateways.
    pub gateways: Gateways,
    /// How long a change waits to be in force everywhere.
    pub in_force_timeout: Duration,
}

/// A change with who makes it.
#[derive(Clone, Debug)]
pub struct Intent {
    /// The operator's name.
    pub author: String,
    /// The change in the operators' language, without secrets.
    pub summary: String,
    /// The version that the operator saw, if it matters.
    pub base: Option<ConfigVersion>,
}

impl Committer {
    /// Takes a change all the way.
    pub async fn change(&self, intent: &Intent, change: &Change) -> ChangeAnswer {
        let id = Uuid::new_v4().to_string();
        let current = match Current::from_platform(&self.store, &[]).await {
            Ok(current) => current,
            Err(e) => return not_written(&id, &e),
        };
        let base = current.view.version();
        if let Some(seen) = intent.base.filter(|seen| *seen != base) {
            return conflict(&id, seen, &current.stored.root);
        }
        match change.apply(&current.view.fleet) {
            Ok(fleet) => self.commit(intent, id, &current, fleet).await,
            Err(findings) => {
                ChangeAnswer::new(ChangeOutcome::Refused, &id, base).with_findings(&findings)
            }
        }
    }

    async fn commit(
        &self,
        intent: &Intent,
        id: String,
        current: &Current,
        fleet: Fleet,
    ) -> ChangeAnswer {
        let base = current.view.version();
        let refusals = self.refusals(current, &fleet).await;
        if !refusals.is_empty() {
            let mut answer = ChangeAnswer::new(ChangeOutcome::Refused, &id, base);
            answer.findings = refusals;
            return answer;
        }
        let proposal = Proposal {
            change: id.clone(),
            author: intent.author.clone(),
            summary: intent.summary.clone(),
            fleet,
        };
        match self.store.commit(&current.stored, &proposal).await {
            Commit::Done(root) => {
                events::CONFIG_COMMITTED.log(format_args!(
                    "version={} author={} change={id}: {}",
                    root.version, intent.author, intent.summary
                ));
                let before = &current.stored.root;
                self.roll_out(&id, before, root, &proposal.fleet).await
            }
            Commit::Conflict(root) => {
                events::CONFIG_CONFLICT.log(format_args!(
                    "author={} base={base} now={}",
                    intent.author, root.version
                ));
                conflict(&id, base, &root)
            }
            Commit::NotWritten(e) => {
                let mut answer = ChangeAnswer::new(ChangeOutcome::NotWritten, &id, base);
                answer.findings.push(e);
                answer
            }
            Commit::Unsettled(e) => {
                let mut answer = ChangeAnswer::new(ChangeOutcome::Unsettled, &id, base);
                answer.findings.push(e);
                answer
            }
        }
    }

    /// What gateways that answer have against a configuration.
    async fn refusals(&self, current: &Current, fleet: &Fleet) -> Vec<String> {
        let (refs, parts) = split(fleet);
        let root = Root {
            version: current.view.version() + 1,
            parts: refs,
            ..Root::default()
        };
        let bundle = news(&current.stored.root, root, parts);
        let answers = self
            .gateways
            .call_all(|client, cx| {
                let bundle = bundle.clone();
                async move { client.check(cx, bundle).await }
            })
            .await;
        answers
            .into_iter()
            .filter_map(|a| a.result.ok().flatten())
            .collect()
    }

    /// Offers a committed configuration and waits until it is in force.
    async fn roll_out(&self, id: &str, before: &Root, root: Root, fleet: &Fleet) -> ChangeAnswer {
        let version = root.version;
        let (_, parts) = split(fleet);
        let bundle = news(before, root, parts);
        let _ = self
            .gateways
            .call_all(|client, cx| {
                let bundle = bundle.clone();
                async move { client.offer(cx, bundle).await }
            })
            .await;
        let mut answer = ChangeAnswer::new(ChangeOutcome::InForce, id, before.version);
        answer.version = Some(version);
        let until = Instant::now() + self.in_force_timeout;
        loop {
            let statuses = self
                .gateways
                .call_all(async |client, cx| client.status(cx).await)
                .await;
            sort_out(&mut answer, version, statuses);
            if answer.lagging.is_empty() || Instant::now() + POLL >= until {
                break;
            }
            tokio::time::sleep(POLL).await;
        }
        if !answer.lagging.is_empty() {
            answer.outcome = ChangeOutcome::Committed;
            let lagging = answer.lagging.join(",");
            events::CONFIG_LAGGING.log(format_args!("version={version} gateways={lagging}"));
        }
        answer
    }

    /// What became of a change that was made on `base`.
    ///
    /// # Errors
    ///
    /// The platform gave no answer.
    pub async fn state(&self, id: &str, base: ConfigVersion) -> Result<ChangeState, StoreError> {
        let root = self.store.root().await?.root;
        if root.recent.iter().any(|c| c.change == id) {
            return Ok(ChangeState::Committed);
        }
        Ok(match root.version > base {
            true => ChangeState::Refused,
            false => ChangeState::Open,
        })
    }
}

/// A configuration as it is offered: with the parts that the one before did
/// not have. A gateway that lacks others reads them from the platform.
fn news(before: &Root, root: Root, mut parts: Vec<Part>) -> ConfigBundle {
    parts.retain(|p| !before.parts.iter().any(|r| r.hash == p.hash));
    ConfigBundle {
        // The gateways read the object's version themselves; 0 is never newer.
        object_version: 0,
        root,
        parts,
    }
}

fn sort_out(
    answer: &mut ChangeAnswer,
    version: ConfigVersion,
    statuses: Vec<Answer<trouttrack_rpc::GatewayStatus>>,
) {
    answer.in_force.clear();
    answer.lagging.clear();
    answer.unreachable.clear();
    for a in statuses {
        match a.result {
            Ok(s) if s.config_version >= version => answer.in_force.push(s.name),
            Ok(s) => answer.lagging.push(s.name),
            Err(_) => answer.unreachable.push(a.addr.to_string()),
        }
    }
}

fn conflict(id: &str, base: ConfigVersion, root: &Root) -> ChangeAnswer {
    let mut answer = ChangeAnswer::new(ChangeOutcome::Conflict, id, base);
    answer.meanwhile = root
        .recent
        .iter()
        .filter(|c| c.version > base)
        .cloned()
        .collect();
    answer
}

fn not_written(id: &str, e: &StoreError) -> ChangeAnswer {
    let mut answer = ChangeAnswer::new(ChangeOutcome::NotWritten, id, 0);
    answer.findings.push(e.to_string());
    answer
}
