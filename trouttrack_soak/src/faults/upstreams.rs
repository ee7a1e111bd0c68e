//! Upstreams that leave, crash or misbehave.

use crate::bed::{Bed, ENGINES, EVENTS, Member, Upstreams};
use crate::plan::LinkFault;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::ops::Range;
use std::time::Duration;
use tokio::time::sleep;
use trouttrack_platform_standin::{Behaviour, CutEnd, Place, StoreFault, StreamCut};

/// How long a leaving upstream serves on after the store has taken its word:
/// the platform's two seconds, and a little.
pub(super) const SERVES_ON: Duration = Duration::from_millis(2300);
/// How long one that is slow to end serves on: many seconds.
const SERVES_ON_SLOWLY: Duration = Duration::from_secs(9);
/// How much later the events of engines come that are crowded.
const CROWDED: f64 = 3.0;
/// From an upstream's crash until its entry disappears: three heartbeats.
const ENTRY_LASTS: Duration = Duration::from_millis(3600);
/// What an upstream that turns away asks for: the platform's example.
const REST: Duration = Duration::from_secs(3);
/// The requests a second that an upstream in need takes.
const LIMIT: f64 = 1.0;
/// How much later the events of a slow engine come.
const SLOWER: Range<f64> = 2.0..3.0;
/// Requests that an upstream that misbehaves answers badly.
const BAD_ANSWERS: Range<usize> = 1..5;

/// An upstream says that it leaves, serves on for a while and ends.
pub(super) async fn leave(bed: &Bed, place: usize) {
    let Some(member) = staying(bed, place) else {
        return;
    };
    bed.upstreams.note_leaving(&member.upstream.id);
    bed.store.put_upstream(&member.upstream, true);
    serve_on_and_end(bed, &member, SERVES_ON).await;
}

/// The same, but its entry disappears at once.
pub(super) async fn leave_unsaid(bed: &Bed, place: usize) {
    leave_unsaid_and_serve(bed, place, SERVES_ON).await;
}

/// The same, and it serves on for many seconds.
pub(super) async fn leave_unsaid_slowly(bed: &Bed, place: usize) {
    leave_unsaid_and_serve(bed, place, SERVES_ON_SLOWLY).await;
}

async fn leave_unsaid_and_serve(bed: &Bed, place: usize, serves_on: Duration) {
    let Some(member) = staying(bed, place) else {
        return;
    };
    bed.upstreams.note_leaving(&member.upstream.id);
    bed.store.remove_upstream(&member.upstream.id);
    serve_on_and_end(bed, &member, serves_on).await;
}

/// An upstream turns away all that reaches it, and asks for rest each time.
pub(super) async fn turn_away(bed: &Bed, place: usize, lasts: Duration) {
    let upstream = bed.upstreams.at(place).upstream;
    upstream.turn_away(Some(REST));
    sleep(lasts).await;
    upstream.turn_away(None);
}

/// An upstream names a limit in its answers.
pub(super) async fn name_limit(bed: &Bed, place: usize, lasts: Duration) {
    let upstream = bed.upstreams.at(place).upstream;
    upstream.name_limit(Some(LIMIT));
    sleep(lasts).await;
    upstream.name_limit(None);
}

/// An upstream says in its answers that it leaves; the store takes that later.
pub(super) async fn leave_by_answers(bed: &Bed, place: usize, lasts: Duration) {
    let Some(member) = staying(bed, place) else {
        return;
    };
    member.upstream.say_leaving_in_answers();
    sleep(lasts).await;
    leave(bed, place).await;
}

/// An upstream crashes; another takes its place later.
pub(super) async fn crash(bed: &Bed, place: usize, lasts: Duration) {
    let Some(member) = staying(bed, place) else {
        return;
    };
    member.link.set(Some(LinkFault::Refuse));
    sleep(lasts.max(ENTRY_LASTS)).await;
    replace(bed, &member).await;
}

/// The events of an engine come later, for a while or until it ends.
pub(super) async fn slow_down(
    bed: &Bed,
    place: usize,
    lasts: Option<Duration>,
    rng: &mut SmallRng,
) {
    let upstream = bed.upstreams.at(place).upstream;
    let slow = bed.slow_down(&upstream, rng.random_range(SLOWER));
    if let Some(lasts) = lasts {
        sleep(lasts).await;
        bed.end_slow_down(&upstream, slow);
    }
}

/// All engines are crowded for a while.
pub(super) async fn crowd_engines(bed: &Bed, lasts: Duration) {
    let all = bed.upstreams.now().into_iter().map(|m| m.upstream);
    let engines = all.filter(|u| u.service == ENGINES);
    let slow: Vec<_> = engines
        .map(|engine| (bed.slow_down(&engine, CROWDED), engine))
        .collect();
    sleep(lasts).await;
    for (number, engine) in slow {
        bed.end_slow_down(&engine, number);
    }
}

/// A quarter of a service ends at once while the store is away; others take their places later.
pub(super) async fn vanish(bed: &Bed, place: usize, lasts: Duration) {
    let gone = bed.upstreams.quarter(place);
    let away = bed.begin_store_fault(StoreFault::Silent);
    gone.iter().for_each(|m| bed.upstreams.vanish(m));
    sleep(lasts).await;
    bed.end_store_fault(away);
    for member in &gone {
        replace(bed, member).await;
    }
}

/// The upstream at a place, unless it leaves already.
fn staying(bed: &Bed, place: usize) -> Option<Member> {
    let member = bed.upstreams.at(place);
    let leaves = bed.upstreams.left_at(&member.upstream.id).is_some();
    (!leaves).then_some(member)
}

async fn serve_on_and_end(bed: &Bed, member: &Member, serves_on: Duration) {
    sleep(serves_on).await;
    replace(bed, member).await;
}

pub(super) async fn replace(bed: &Bed, member: &Member) {
    if let Err(e) = bed.upstreams.replace(&bed.store, member).await {
        eprintln!("{}: not replaced: {e}", member.upstream.id);
    }
}

/// Makes an upstream answer its next requests badly.
pub(super) fn misbehave(upstreams: &Upstreams, place: usize, rng: &mut SmallRng) {
    let upstream = upstreams.at(place).upstream;
    for _ in 0..rng.random_range(BAD_ANSWERS) {
        upstream.next(match upstream.service == ENGINES {
            true => bad_stream(rng),
            false => Behaviour::PLAIN[rng.random_range(0..Behaviour::PLAIN.len())],
        });
    }
}

/// A stream that is cut off in a way that may look complete.
pub(super) fn cut_stream(rng: &mut SmallRng, after: u64) -> Behaviour {
    let cuts: Vec<StreamCut> = StreamCut::all(EVENTS, after)
        // An upstream whose chunks are complete says that its stream is.
        .filter(|cut| cut.end != CutEnd::LastChunk || cut.place == Place::InsideEvent)
        .collect();
    Behaviour::StreamCut(cuts[rng.random_range(0..cuts.len())])
}

fn bad_stream(rng: &mut SmallRng) -> Behaviour {
    // A broken stream ends after fewer events than a whole one has.
    let most = rng.random_range(0..EVENTS);
    match rng.random_range(0..9) {
        0 | 1 => Behaviour::StreamReset(EVENTS, most),
        2 => Behaviour::StreamSilent(EVENTS, most),
        3 => Behaviour::Refuse,
        4 => Behaviour::OtherInstance,
        5 => Behaviour::Fail,
        6 => Behaviour::StreamUnframed(EVENTS),
        7 => cut_stream(rng, most),
        _ => Behaviour::LoseAnswer,
    }
}
