//! The task that holds the lease and gives orders.

use super::plan::{Order, OrderKind, missing};
use crate::changes::Current;
use crate::gateways::Gateways;
use awc::Client;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use trouttrack_config::fleet::Upstream;
use trouttrack_config::settings::OrderSettings;
use trouttrack_core::Time;
use trouttrack_state::ConfigStore;
use trouttrack_state::lease::{LeaseChange, LeaseKeeper};
use trouttrack_telemetry::events;

/// The longest that an order may be under way.
pub const LONGEST_FLIGHT: Duration = Duration::from_secs(10);
/// Pause between two steps of the holder.
const STEP: Duration = Duration::from_millis(500);
/// Looks of a process that does not hold the lease, in one duration of it.
const LOOKS: u32 = 2;
const LEASE: &str = "orders";

/// What an engine says that it holds.
#[derive(Debug, Deserialize)]
struct Holds {
    models: BTreeSet<String>,
}

struct Giver {
    store: ConfigStore,
    gateways: Gateways,
    keeper: LeaseKeeper,
    client: Client,
    settings: OrderSettings,
    started: Instant,
    /// Since when this process has held the lease without a break.
    won: Option<Time>,
    last_round: Option<Time>,
}

/// Holds the lease and gives orders for as long as the process lives.
pub async fn run(store: ConfigStore, gateways: Gateways, name: String, settings: OrderSettings) {
    let keeper = LeaseKeeper::new(store.client().clone(), LEASE, &name, settings.lease);
    let mut giver = Giver {
        store,
        gateways,
        keeper,
        client: Client::builder().timeout(LONGEST_FLIGHT).finish(),
        settings,
        started: Instant::now(),
        won: None,
        last_round: None,
    };
    loop {
        giver.step().await;
        let pause = match giver.keeper.acting(giver.now()) {
            Some(_) => STEP,
            // Many look on; each costs the platform a read.
            None => giver.settings.lease / LOOKS,
        };
        tokio::time::sleep(pause).await;
    }
}

impl Giver {
    fn now(&self) -> Time {
        self.started.elapsed()
    }

    async fn step(&mut self) {
        let started = self.started;
        match self.keeper.step(move || started.elapsed()).await {
            Ok(LeaseChange::Won) => {
                self.won = Some(self.now());
                let epoch = self.keeper.acting(self.now()).map(|h| h.record.epoch);
                events::LEASE_WON.log(format_args!("lease={LEASE} epoch={epoch:?}"));
            }
            Ok(LeaseChange::Lost) => {
                self.won = None;
                events::LEASE_LOST.log(format_args!("lease={LEASE}"));
            }
            // Without the platform the lease runs out by itself.
            Ok(LeaseChange::None) | Err(_) => {}
        }
        let due = self
            .last_round
            .is_none_or(|at| self.now() >= at + self.settings.every);
        if due && self.keeper.acting(self.now()).is_some() {
            self.round().await;
            self.last_round = Some(self.now());
        }
    }

    async fn round(&mut self) {
        let Ok(current) = Current::best(&self.store, &self.gateways).await else {
            return;
        };
        for u in &current.view.fleet.upstreams {
            if u.capacity_tokens == 0 || !self.may_order(u) {
                continue;
            }
            let Some(holds) = self.holds(u).await else {
                continue;
            };
            for kind in missing(&current.view, u, &holds.models) {
                self.give(u, kind).await;
            }
        }
    }

    /// An engine that does not check epochs is left alone until no order of
    /// an old holder can be under way any more.
    fn may_order(&self, u: &Upstream) -> bool {
        let settled = |won: Time| self.now() >= won + LONGEST_FLIGHT;
        u.checks_fence || self.won.is_some_and(settled)
    }

    async fn holds(&self, u: &Upstream) -> Option<Holds> {
        let url = format!("{}/v1/orders", u.url.trim_end_matches('/'));
        let mut res = self.client.get(url).send().await.ok()?;
        res.json().await.ok()
    }

    /// Gives one order, if the lease still allows it just before.
    async fn give(&mut self, u: &Upstream, kind: OrderKind) {
        let Some(held) = self.keeper.acting(self.now()) else {
            return;
        };
        let order = Order {
            epoch: held.record.epoch,
            kind,
        };
        let url = format!("{}/v1/orders", u.url.trim_end_matches('/'));
        let answer = self.client.post(url).send_json(&order).await;
        let status = answer.map_or_else(|e| e.to_string(), |r| r.status().to_string());
        events::ORDER_GIVEN.log(format_args!(
            "upstream={} epoch={} order={:?} answer={status}",
            u.name, order.epoch, order.kind
        ));
        tokio::time::sleep(self.settings.pace).await;
    }
}
