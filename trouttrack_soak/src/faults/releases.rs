//! Releases of upstreams, the end of all VMs, and what may put streams out of order.

use super::upstreams;
use crate::bed::{Bed, ENGINES, EVENTS, Member};
use crate::plan::Departure;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;
use trouttrack_platform_standin::{Behaviour, Endless};

/// From the start of a VM until it serves.
const STARTS: Duration = Duration::from_secs(1);
/// Streams that an engine answers in other ways.
const STREAMS: Range<usize> = 2..8;

/// Answers without end that bring nothing of a body.
const ENDLESS: [Endless; 8] = [
    Endless::InformationalHeads,
    Endless::Reason,
    Endless::Headers,
    Endless::HeaderValue,
    Endless::LeadingLines,
    Endless::ChunkSizeZeros,
    Endless::ChunkSizeSpace,
    Endless::ChunkExtension,
];

/// All VMs are killed at once and stay down for a while.
pub(super) async fn kill_all(bed: &Bed, down: Duration) {
    let until = Instant::now() + down;
    bed.vms.iter().for_each(|vm| vm.kill_until(until));
    sleep(down + STARTS).await;
}

/// Newer engines start; the older ones leave one after the other.
pub(super) async fn release(
    bed: &Rc<Bed>,
    (first, departure): (usize, Departure),
    lasts: Duration,
    rng: &mut SmallRng,
) {
    let older = match bed.upstreams.release(&bed.store, first).await {
        Ok(older) => older,
        Err(e) => return eprintln!("no newer upstream: {e}"),
    };
    let pause = lasts / older.len().max(1) as u32;
    let mut leaving = Vec::new();
    for (number, member) in older.into_iter().enumerate() {
        let bed = Rc::clone(bed);
        let says = match departure {
            Departure::Said => true,
            Departure::Unsaid => false,
            Departure::Mixed => rng.random_bool(0.5),
        };
        // Those that have started already stand for as many.
        let succeeded = number >= first;
        leaving.push(actix_rt::spawn(async move {
            leave(&bed, &member, says, succeeded).await;
        }));
        sleep(pause).await;
    }
    for member in leaving {
        if let Err(e) = member.await {
            eprintln!("an upstream did not leave: {e}");
        }
    }
}

async fn leave(bed: &Bed, member: &Member, says: bool, succeeded: bool) {
    let id = &member.upstream.id;
    if bed.upstreams.left_at(id).is_some() || !bed.upstreams.has(id) {
        return;
    }
    bed.upstreams.note_leaving(id);
    match says {
        true => bed.store.put_upstream(&member.upstream, true),
        false => bed.store.remove_upstream(id),
    }
    sleep(upstreams::SERVES_ON).await;
    match succeeded {
        true => upstreams::replace(bed, member).await,
        false => bed.upstreams.retire(&bed.store, member),
    }
}

/// Makes an engine answer its next streams in ways that may put events out of order.
pub(super) fn disorder(bed: &Bed, place: usize, rng: &mut SmallRng) {
    let engines = bed.upstreams.now().into_iter().map(|m| m.upstream);
    let engines: Vec<_> = engines.filter(|u| u.service == ENGINES).collect();
    if engines.is_empty() {
        return;
    }
    let engine = &engines[place % engines.len()];
    for _ in 0..rng.random_range(STREAMS) {
        let after = rng.random_range(1..EVENTS);
        engine.next(match rng.random_range(0..8) {
            0 => Behaviour::StreamAfterOther(EVENTS),
            1 | 2 => Behaviour::StreamSurplus(EVENTS),
            3 => Behaviour::StreamUnframed(EVENTS),
            4 => Behaviour::StreamSilent(EVENTS, after),
            5 => upstreams::cut_stream(rng, after),
            _ => Behaviour::StreamReset(EVENTS, after),
        });
    }
}

/// Makes an upstream answer its next requests without end.
pub(super) fn answer_endlessly(bed: &Bed, place: usize, rng: &mut SmallRng) {
    let upstream = bed.upstreams.at(place).upstream;
    for _ in 0..rng.random_range(STREAMS) {
        let endless = ENDLESS[rng.random_range(0..ENDLESS.len())];
        upstream.next(Behaviour::Endless(endless, 0));
    }
}

/// Another writer puts odd entries among those of the upstreams, and takes them away.
pub(super) async fn odd_entries(bed: &Bed, lasts: Duration) {
    let Some(good) = bed.upstreams.now().into_iter().map(|m| m.upstream).next() else {
        return;
    };
    let names: Vec<String> = bed.store.put_odd_entries(&good.id);
    sleep(lasts).await;
    names
        .iter()
        .for_each(|name| bed.store.remove_upstream(name));
}
