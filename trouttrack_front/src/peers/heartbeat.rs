//! Sends heartbeats, and load updates when this VM's use of upstreams changes.
//!
//! Two kinds of datagram report load. A heartbeat carries the VM's whole state; its
//! interval and number of receivers are limited so that control traffic stays within the
//! fleet's budget. The VM's use of upstreams changes with each generation that it
//! dispatches, and with each request to an upstream whose rate limit the VMs share. Other
//! VMs need such a change within the 200 ms that loading a prompt takes, so a load update
//! goes out at once to all VMs that select among the same upstreams.

use super::message::{Datagram, Heartbeat, Load};
use super::origins;
use super::post::post_with;
use super::quarantine;
use super::roles::watches_store;
use crate::state::Front;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use trouttrack_core::FailureDomain;
use trouttrack_core::membership::{
    CHANGED_LIMIT_REPEAT_PERIOD, Conditions, Digest, LOCAL_FANOUT, REMOTE_FANOUT, UpstreamUse,
    sends_aggregates,
};
use trouttrack_core::upstream::{RateShare, ReportedLimit, ReportedRate};
use trouttrack_telemetry::{events, record};

/// Delay between a placement or a loss and its load update, so that several share one
/// datagram. Kept short because other VMs may select the same upstream until they receive it.
const LOAD_UPDATE_DELAY: Duration = Duration::from_millis(3);

/// Period after start during which a VM sends heartbeats to its whole failure domain. With
/// random receivers only, 164 peers would take half a minute to learn of it, and each
/// would consider itself the one that must watch the store.
const STARTUP_BROADCAST: Duration = Duration::from_secs(4);

/// Sends heartbeats and load updates for as long as the process runs.
pub(crate) async fn send(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut heartbeat_at = Instant::now();
    let mut update_at: Option<Instant> = None;
    loop {
        let wake_at = update_at.unwrap_or(heartbeat_at);
        tokio::select! {
            () = tokio::time::sleep_until(heartbeat_at) => {
                send_heartbeats(&front, &socket);
                heartbeat_at = Instant::now() + heartbeat_interval(&front);
            }
            () = front.peers.announcement() => {
                send_heartbeats(&front, &socket);
                heartbeat_at = Instant::now() + heartbeat_interval(&front);
            }
            () = front.paths.changed() => send_load(&front, &socket),
            () = front.quarantine.changes_pending() => quarantine::send_changes(&front, &socket),
            () = front.origins.changes_pending() => origins::send_changes(&front, &socket),
            () = front.scheduler.load_update_requested(), if update_at.is_none() => {
                update_at = Some(Instant::now() + LOAD_UPDATE_DELAY);
            }
            () = tokio::time::sleep_until(wake_at), if update_at.is_some() => {
                update_at = None;
                if front.serving.tell_changes {
                    send_load(&front, &socket);
                }
            }
        }
    }
}

/// Interval until the next heartbeats. Peers rely on those of a VM that watches the store,
/// so it has an interval of its own.
fn heartbeat_interval(front: &Front) -> Duration {
    match watches_store(front) {
        true => front.peers.watcher_heartbeat_interval(),
        false => front.peers.pause(),
    }
}

fn send_heartbeats(front: &Front, socket: &UdpSocket) {
    front
        .peers
        .forget_silent(front.clock.now(), &front.failure_domain);
    if front.peers.listed() > 0 {
        front.scheduler.set_rate_share(rate_share(front));
        front.scheduler.set_fleet_size(front.peers.listed());
    }
    front.quarantine.expire();
    front.origins.expire();
    front.metrics.held.set(front.quarantine.held() as i64);
    front
        .metrics
        .unreachable
        .set(front.scheduler.unreachable() as i64);
    report_speeds(front);
    front.metrics.waiting.set(front.scheduler.queued() as i64);
    front
        .metrics
        .held_back
        .set(front.scheduler.held_back() as i64);
    let receivers = receivers(front);
    if receivers.is_empty() {
        return;
    }
    let mut heartbeat = heartbeat(front);
    let local = conditions(front, front.scheduler.due_local_rates());
    let remote = conditions(front, front.scheduler.due_domain_rates());
    for (name, addr) in receivers {
        heartbeat.echo = front.peers.echo(&name);
        let datagram = Datagram::Heartbeat(Box::new(heartbeat.clone()));
        let conditions = match front.peers.is_in(&name, &front.failure_domain) {
            true => &local,
            false => &remote,
        };
        post_with(socket, &datagram, conditions, [addr]);
    }
}

/// Updates the metrics of upstream speeds, and logs slowdowns that changed.
fn report_speeds(front: &Front) {
    let known = front.scheduler.known_rates();
    front.metrics.upstreams_with_rate.set(known.known as i64);
    front.metrics.slow_upstreams.set(known.slow as i64);
    for change in front.scheduler.take_slowdown_changes() {
        record!(
            events::UPSTREAM_SPEED,
            upstream = change.upstream.as_str(),
            slowdown = format!("{:.2}", change.rate.slowdown),
            previous = format!("{:.2}", change.previous),
            error_percent = (change.rate.uncertainty * 100.0) as u64,
            gap_us = change.rate.event_gap.map(|gap| gap.as_micros() as u64),
        );
    }
}

/// Conditions to report, with these service rates.
fn conditions(front: &Front, rates: Vec<ReportedRate>) -> Conditions {
    Conditions {
        rates,
        ..own_conditions(front)
    }
}

/// Conditions to report. A VM without paths to upstreams is refused by all of them, which says
/// nothing about them.
fn own_conditions(front: &Front) -> Conditions {
    let mut conditions = front.scheduler.conditions();
    conditions.quarantine_unknown = !front.quarantine.is_known();
    conditions.paths_lost = front.paths.are_all_lost();
    conditions.departures = front.upstreams.departure_words();
    if conditions.paths_lost {
        conditions.unreachable.clear();
    }
    conditions
}

/// This VM's share of a rate limit, from the number of VMs that are currently live.
fn rate_share(front: &Front) -> RateShare {
    let home = &front.failure_domain;
    let own = 1;
    let live = front.peers.live_in_domain(home) + own;
    RateShare::of(live, front.peers.listed_in(home), front.peers.listed())
}

/// Sends a heartbeat to a newly discovered VM, which would otherwise wait until it is
/// selected as a receiver.
pub(super) fn send_first_heartbeat(
    front: &Front,
    socket: &UdpSocket,
    name: &str,
    addr: SocketAddr,
) {
    let mut heartbeat = heartbeat(front);
    heartbeat.echo = front.peers.echo(name);
    let datagram = Datagram::Heartbeat(Box::new(heartbeat));
    let conditions = conditions(front, front.scheduler.local_rates());
    post_with(socket, &datagram, &conditions, [addr]);
}

/// Sends this VM's use of upstreams to all VMs that select among the same ones: those in
/// its own failure domain, and those in the failure domains of the upstreams in use.
///
/// The latter would otherwise learn of requests from this VM only by heartbeats, after their
/// prompts have been loaded.
fn send_load(front: &Front, socket: &UdpSocket) {
    let mut conditions = own_conditions(front);
    conditions.departures = front.upstreams.take_departure_news();
    // Any VM may be the one that goes on using such an upstream.
    let to_all = !is_large(front) || !conditions.departures.is_empty();
    let uses = front.scheduler.local_uses();
    let limits = front.scheduler.limits(Some(CHANGED_LIMIT_REPEAT_PERIOD));
    let domains = domains_of(front, &uses, &limits);
    let selects_same_upstreams = |domain: &str| {
        to_all || domain == front.failure_domain || domains.iter().any(|d| d == domain)
    };
    let receivers = front.peers.live_addrs(selects_same_upstreams);
    if receivers.is_empty() {
        return;
    }
    let load = Load {
        name: front.name.clone(),
        number: front.peers.next(front.clock.now()),
        uses,
        limits,
    };
    conditions.retain_new_reachability();
    post_with(socket, &Datagram::Load(load), &conditions, receivers);
}

/// Failure domains of the upstreams that are in use or whose limits have changed.
fn domains_of(front: &Front, uses: &[UpstreamUse], limits: &[ReportedLimit]) -> Vec<FailureDomain> {
    let used = uses.iter().map(|u| &u.upstream);
    let named = used.chain(limits.iter().map(|limit| &limit.life.id));
    let known = named.filter_map(|id| front.upstreams.get(id));
    known.map(|u| u.failure_domain.clone()).collect()
}

fn is_large(front: &Front) -> bool {
    sends_aggregates(front.peers.listed())
}

fn receivers(front: &Front) -> Vec<(String, SocketAddr)> {
    let mut others = front.peers.others();
    others.shuffle(&mut rand::rng());
    let own_domain = &front.failure_domain;
    let (near, far): (Vec<_>, Vec<_>) = others
        .into_iter()
        .partition(|(name, _)| front.peers.is_in(name, own_domain));
    // Every peer that defers to this VM must learn that it watches the store, and every peer
    // that ranks after it must learn that it has started.
    let starting = front.clock.now() < STARTUP_BROADCAST;
    let near_count = if starting || watches_store(front) {
        near.len()
    } else {
        LOCAL_FANOUT
    };
    let near = near.into_iter().take(near_count);
    near.chain(far.into_iter().take(REMOTE_FANOUT)).collect()
}

fn heartbeat(front: &Front) -> Heartbeat {
    let number = front.peers.next(front.clock.now());
    let own = front.peer_addr.get();
    Heartbeat {
        digest: Digest {
            name: front.name.clone(),
            rpc_addr: own.map_or_else(String::new, ToString::to_string),
            failure_domain: front.failure_domain.clone(),
            sequence: number.sequence,
            incarnation: number.incarnation,
            config_version: front.routing.version(),
            draining: front.lifecycle.is_stopping(),
            in_flight: front.lifecycle.in_flight() as u32,
            uses: front.scheduler.local_uses(),
            ..Digest::default()
        },
        echo: None,
        watches: watches_store(front),
        confirmed_ms: front.routing.age_ms(),
        upstreams_revision: front.upstreams.revision(),
        evacuations: front.evacuations.borrow().clone(),
        store_ms: front.store_contact.age_ms(front.clock.now()),
        quarantine_checksum: front.quarantine.checksum(),
        limits: front.scheduler.limits(None),
        domain_uses: match is_large(front) {
            true => front.scheduler.domain_uses(),
            false => Vec::new(),
        },
    }
}
