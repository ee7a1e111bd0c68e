//! Quarantine of a part of prompts that crashes every upstream that begins to answer a request
//! with it.
//!
//! Guards against requests that have such a part in common and nothing else: no two are alike,
//! so a quarantine of whole requests refuses none of them, and each crashes one upstream per
//! attempt. Without a quarantine of parts, 20 engines of a fleet of 9 exited within ten seconds.
//! Sound requests share the organisation and all other parts with them, and must be served.

use crate::support::{Bed, ENGINES, config, knows_fleet, plain, settings, until};
use std::cell::RefCell;
use std::time::{Duration, Instant};
use trouttrack_core::PartId;
use trouttrack_core::quarantine::{Attributes, CrashedRun, QuarantineSettings, Subject};
use trouttrack_core::upstream::Incarnation;
use trouttrack_front::app::{Running, start};
use trouttrack_platform::CallerHead;
use trouttrack_platform_standin::{Behaviour, CallerRequest, Reply, Store, StoreFault, Upstream};

/// Part under which upstreams exit, and two sound ones.
const FATAL: &str = "bad0";
const COMMON: &str = "5c1e07a2";
const OTHER: &str = "91bd3f06";
/// Exits under the part after which VMs have a bounded time to refuse it.
const BOUNDED_AFTER: usize = 5;
/// That time, the contact bound of the platform.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Requests with the part that may reach upstreams later.
const MAX_LATER: usize = 3;
/// More upstreams than can exit before all VMs know of the part.
const UPSTREAMS: usize = 30;
/// Pause between two arrivals.
const PAUSE: Duration = Duration::from_millis(20);

/// Two VMs with many upstreams, all of which exit when they begin to answer a request with the
/// fatal part.
struct PartBed {
    bed: Bed,
    other: Running,
    upstreams: Vec<Upstream>,
    /// When each exit was seen, after the request that caused it.
    exits: RefCell<Vec<Instant>>,
}

impl PartBed {
    async fn new() -> Self {
        Self::with_port_linger(Duration::ZERO).await
    }

    /// Upstreams whose ports stay open for `port_linger` after their connections close.
    async fn with_port_linger(port_linger: Duration) -> Self {
        let bed = Bed::new(ENGINES).await;
        let other = start(&settings(&bed.store, "front-2", "")).await;
        let other = other.expect("a front");
        let mut upstreams = bed.upstreams.clone();
        for n in upstreams.len()..UPSTREAMS {
            upstreams.push(Upstream::start(&format!("more-{n}"), ENGINES, "a").await);
        }
        for upstream in &upstreams {
            upstream.ends_under_part(FATAL);
            upstream.lingers(port_linger);
            upstream.always(Behaviour::Stream(4));
            bed.store.put_upstream(upstream, false);
        }
        let fleet = Self {
            bed,
            other,
            upstreams,
            exits: RefCell::default(),
        };
        for front in fleet.fronts() {
            knows_fleet(front, &fleet.upstreams).await;
        }
        fleet
    }

    fn fronts(&self) -> [&Running; 2] {
        [&self.bed.front, &self.other]
    }

    fn ended(&self) -> usize {
        let ended = self.upstreams.iter().filter(|u| u.has_ended());
        ended.count()
    }

    /// Number of requests with the fatal part that reached upstreams when all VMs had to know of
    /// it: later than the propagation time after the last exit that is not bounded.
    fn reached_later(&self) -> usize {
        let Some(fifth_at) = self.exits.borrow().get(BOUNDED_AFTER - 1).copied() else {
            return 0;
        };
        let arrivals = self.upstreams.iter().flat_map(Upstream::arrivals);
        let fatal = arrivals.filter(|a| a.id.starts_with("fatal"));
        let later = fatal.filter(|a| a.at > fifth_at + PROPAGATION_TIME);
        later.count()
    }

    /// Sends a request to one of the VMs, and removes exited upstreams from the store.
    async fn send(&self, n: usize, req: CallerRequest) -> Reply {
        let reply = req.send(self.fronts()[n % 2].callers).await;
        for upstream in self.upstreams.iter().filter(|u| u.has_ended()) {
            self.bed.store.remove_upstream(&upstream.id);
        }
        self.exits.borrow_mut().resize(self.ended(), Instant::now());
        reply
    }

    /// Sends requests with the fatal part at both VMs for `time`, and sound ones between them.
    /// Returns the share of the sound ones that were answered in full.
    async fn send_for(&self, time: Duration, ids: &str, route: &str, shared: [&str; 2]) -> f64 {
        let until = Instant::now() + time;
        let (mut sound, mut answered) = (0, 0);
        for n in 0.. {
            if Instant::now() > until {
                break;
            }
            self.send(n, request(&format!("fatal-{ids}-{n}"), route, &shared))
                .await;
            let kept: Vec<&str> = shared.into_iter().filter(|id| *id != FATAL).collect();
            let req = request(&format!("sound-{ids}-{n}"), route, &kept);
            let reply = self.send(n / 2, req).await;
            sound += 1;
            answered += usize::from(reply.status == 200 && reply.whole);
            tokio::time::sleep(PAUSE).await;
        }
        f64::from(answered as u32) / f64::from(sound)
    }
}

/// A request with these shared parts and a part, a path and a body of its own.
fn request(id: &str, route: &str, shared: &[&str]) -> CallerRequest {
    let own = format!("{id}-own");
    let parts: Vec<&str> = shared.iter().copied().chain([own.as_str()]).collect();
    let mut req = plain(id, route)
        .post("a prompt")
        .tokens(100, 8)
        .parts(&parts);
    req.target = format!("/{route}/{id}");
    req.body = id.to_owned().into();
    req
}

async fn check_held(route: &str, shared: [&str; 2]) {
    check_held_in(PartBed::new().await, route, shared).await;
}

async fn check_held_in(fleet: PartBed, route: &str, shared: [&str; 2]) {
    fleet
        .send_for(PROPAGATION_TIME, "early", route, shared)
        .await;
    let served = fleet
        .send_for(2 * PROPAGATION_TIME, "late", route, shared)
        .await;
    let (ended, later) = (fleet.ended(), fleet.reached_later());
    assert!(ended >= 1, "no upstream exited");
    assert!(
        later <= MAX_LATER,
        "{later} requests with the part reached upstreams afterwards, {ended} exited in all"
    );
    assert!(
        ended < UPSTREAMS,
        "all upstreams exited, so that no request could reach one"
    );
    assert!(served >= 0.9, "{served} of the sound requests were served");
    for n in 0..2 {
        let reply = fleet.send(n, request("fatal-told", route, &shared)).await;
        assert_eq!(reply.status, 503);
        assert!(reply.retry_after.is_some());
    }
}

#[actix_rt::test]
async fn a_part_of_prompts_that_crashes_upstreams_is_held_and_nothing_else() {
    check_held("draft", [COMMON, FATAL]).await;
}

/// Each attempt at another upstream crashes that one as well.
#[actix_rt::test]
async fn a_fatal_part_of_resumable_streams_is_held_and_nothing_else() {
    check_held("resume", [COMMON, FATAL]).await;
}

#[actix_rt::test]
async fn a_fatal_first_part_of_prompts_is_held_and_nothing_else() {
    check_held("resume", [FATAL, OTHER]).await;
}

/// An exiting process may close its connections before its port.
#[actix_rt::test]
async fn a_fatal_part_is_held_when_ports_close_last() {
    let fleet = PartBed::with_port_linger(Duration::from_millis(30)).await;
    check_held_in(fleet, "resume", [COMMON, FATAL]).await;
}

/// All VMs lose power, and one starts while no other is running.
#[actix_rt::test]
async fn a_held_part_survives_the_loss_of_all_vms() {
    let fleet = PartBed::new().await;
    let sending = fleet.send_for(PROPAGATION_TIME, "early", "resume", [COMMON, FATAL]);
    sending.await;
    until("the store has the hold", || {
        !fleet.bed.store.holds().is_empty()
    })
    .await;
    let store = Store::start().await;
    store.put_config(&config(1));
    store.inherit_holds(&fleet.bed.store);
    let upstream = Upstream::start("u1", ENGINES, "a").await;
    upstream.ends_under_part(FATAL);
    upstream.always(Behaviour::Stream(4));
    store.put_upstream(&upstream, false);
    let restarted = start(&settings(&store, "front-1", "")).await;
    let restarted = restarted.expect("a front");
    until("the VM is ready", || restarted.front.lifecycle.is_ready()).await;
    until("keys are confirmed", || restarted.front.routing.is_fresh()).await;
    until("the hold is read", || restarted.front.quarantine.held() > 0).await;
    let send = |id, shared| {
        let req = request(id, "resume", shared);
        async move { req.send(restarted.callers).await }
    };
    assert_eq!(send("alone", &[COMMON, FATAL]).await.status, 503);
    assert!(!upstream.has_ended());
    assert_eq!(send("sound", &[COMMON, OTHER]).await.status, 200);
}

/// The id of the fatal part, as VMs know it.
fn fatal_part() -> PartId {
    let req = request("any", "draft", &[FATAL]).build();
    let headers = req.headers().iter();
    let headers = headers.map(|(name, value)| (name.as_str(), value.as_bytes()));
    let head = CallerHead::decode("POST", "/", headers).expect("a head");
    head.prompt_parts()[0]
}

/// Records crashes at a VM as if it had seen them, which hold the fatal part.
fn hold_fatal_part(front: &Running) {
    for n in 0..QuarantineSettings::default().part_ends as u128 {
        let attributes = Attributes::new(n, vec![fatal_part()]);
        let run = CrashedRun::from(&Incarnation::new(&format!("gone-{n}"), 0));
        let now = front.front.clock.now();
        front.front.quarantine.ended(&attributes, &run, now);
    }
}

/// Two upstreams, each full of one long stream.
async fn full_bed() -> Bed {
    let bed = Bed::new(ENGINES).await;
    for (n, upstream) in bed.upstreams.iter().enumerate() {
        upstream.pace(Duration::from_millis(100));
        upstream.always(Behaviour::Stream(10));
        let fill = request(&format!("fill-{n}"), "draft", &[OTHER]).tokens(30_000, 160);
        let to = bed.addr();
        actix_rt::spawn(async move { fill.send(to).await });
    }
    until("both upstreams are full", || {
        bed.upstreams.iter().all(|u| u.working_on() == 1)
    })
    .await;
    bed
}

/// Sends a request that finds no room and waits.
async fn wait_with(bed: &Bed, id: &str, shared: &[&str]) -> actix_rt::task::JoinHandle<Reply> {
    let req = request(id, "draft", shared).tokens(30_000, 160);
    let to = bed.addr();
    let waiting = actix_rt::spawn(async move { req.send(to).await });
    until("it waits", || bed.front.front.scheduler.queued() > 0).await;
    waiting
}

/// A request that waits would be refused at the earliest when an upstream has room.
#[actix_rt::test]
async fn requests_that_wait_are_refused_as_soon_as_their_part_is_held() {
    let bed = full_bed().await;
    let waiting = wait_with(&bed, "fatal", &[COMMON, FATAL]).await;
    hold_fatal_part(&bed.front);
    let reply = waiting.await.expect("a reply");
    assert_eq!(reply.status, 503);
    assert!(bed.upstreams.iter().all(|u| u.working_on() == 1));
    assert!(bed.ran("fatal").is_empty());
}

#[actix_rt::test]
async fn sound_requests_that_wait_go_on_waiting() {
    let bed = full_bed().await;
    let waiting = wait_with(&bed, "sound", &[COMMON, OTHER]).await;
    hold_fatal_part(&bed.front);
    assert_eq!(waiting.await.expect("a reply").status, 200);
}

/// A VM that starts after the crashes, and one that missed all datagrams about them.
#[actix_rt::test]
async fn a_vm_that_starts_later_hears_of_a_held_part() {
    let bed = Bed::new(ENGINES).await;
    hold_fatal_part(&bed.front);
    let late = start(&settings(&bed.store, "front-2", "")).await;
    let late = late.expect("a front");
    until("the part is held there", || {
        late.front.quarantine.held() == 1
    })
    .await;
    until("the VM is ready", || late.front.lifecycle.is_ready()).await;
    until("keys are confirmed", || late.front.routing.is_fresh()).await;
    let reply = request("fatal", "draft", &[COMMON, FATAL])
        .send(late.callers)
        .await;
    assert_eq!(reply.status, 503);
}

#[actix_rt::test]
async fn a_part_that_the_settings_lift_is_not_held() {
    let bed = Bed::new(ENGINES).await;
    hold_fatal_part(&bed.front);
    let quarantine = &bed.front.front.quarantine;
    assert_eq!(quarantine.held(), 1);
    quarantine.set_lifted(&[Subject::Part(fatal_part())]);
    assert_eq!(quarantine.held(), 0);
    until("its hold leaves the store", || bed.store.holds().is_empty()).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::Stream(4)));
    let req = request("lifted", "draft", &[COMMON, FATAL]);
    assert_eq!(bed.send(&req).await.status, 200);
}

/// A store that VMs which are gone have left, with a hold on the fatal part that is not in lists
/// that lag, and an upstream that exits under the part.
async fn store_with_new_hold() -> (Store, Upstream) {
    let bed = Bed::new(ENGINES).await;
    hold_fatal_part(&bed.front);
    until("the store has the hold", || !bed.store.holds().is_empty()).await;
    let store = Store::start().await;
    store.put_config(&config(1));
    let upstream = Upstream::start("u1", ENGINES, "a").await;
    upstream.ends_under_part(FATAL);
    upstream.always(Behaviour::Stream(4));
    store.put_upstream(&upstream, false);
    for name in ["front-1", "front-2"] {
        let unreachable = "127.0.0.1:9".parse().expect("an address");
        store.put_vm(name, unreachable, "b");
    }
    let before = store.backup();
    store.inherit_holds(&bed.store);
    store.lag(&before);
    (store, upstream)
}

/// Sends a request with the fatal part and a sound one.
async fn send_both(vm: &Running) -> [u16; 2] {
    let fatal = request("fatal", "resume", &[COMMON, FATAL]);
    let sound = request("sound", "resume", &[COMMON, OTHER]);
    let fatal = fatal.send(vm.callers).await.status;
    [fatal, sound.send(vm.callers).await.status]
}

/// Guards against a VM that takes the holds of a list that lags for all holds: after the loss of
/// all VMs, those written last were unknown for seconds.
#[actix_rt::test]
async fn a_hold_written_just_before_the_loss_of_all_vms_is_known_after_it() {
    let (store, upstream) = store_with_new_hold().await;
    let vm = start(&settings(&store, "front-1", "")).await;
    let vm = vm.expect("a front");
    until("the VM is ready", || vm.front.lifecycle.is_ready()).await;
    until("keys are confirmed", || vm.front.routing.is_fresh()).await;
    assert_eq!(send_both(&vm).await, [503, 200]);
    assert!(!upstream.has_ended());
}

/// Guards against a VM that serves before it has read any holds, as if there were none.
#[actix_rt::test]
async fn a_vm_sends_nothing_before_it_has_read_the_holds() {
    let (store, upstream) = store_with_new_hold().await;
    store.set_fault(StoreFault::LateVmLists);
    let vm = start(&settings(&store, "front-1", "")).await;
    let vm = vm.expect("a front");
    until("the upstreams are known", || vm.front.upstreams.is_listed()).await;
    until("keys are confirmed", || vm.front.routing.is_fresh()).await;
    assert_eq!(send_both(&vm).await, [503, 503]);
    assert!(!vm.front.lifecycle.is_ready());
    store.set_fault(StoreFault::None);
    until("the VM is ready", || vm.front.lifecycle.is_ready()).await;
    assert_eq!(send_both(&vm).await, [503, 200]);
    assert!(!upstream.has_ended());
}

/// Guards against VMs that start together and each take the other's empty quarantine for knowledge.
#[actix_rt::test]
async fn vms_that_start_together_learn_no_holds_from_each_other() {
    /// Longer than two VMs take to exchange several heartbeats.
    const SEVERAL_HEARTBEATS: Duration = Duration::from_millis(1500);
    let (store, _upstream) = store_with_new_hold().await;
    store.set_fault(StoreFault::LateVmLists);
    let mut vms = Vec::new();
    for name in ["front-1", "front-2"] {
        vms.push(start(&settings(&store, name, "")).await.expect("a front"));
    }
    for (vm, other) in [(&vms[0], &vms[1]), (&vms[1], &vms[0])] {
        let addr = *other.front.peer_addr.get().expect("bound");
        vm.front.peers.insert(&other.front.name, addr, "a");
        vm.front.peers.announce();
    }
    until("they hear each other", || {
        vms.iter().all(|vm| vm.front.peers.live_names().len() == 1)
    })
    .await;
    tokio::time::sleep(SEVERAL_HEARTBEATS).await;
    assert!(vms.iter().all(|vm| !vm.front.quarantine.is_known()));
    store.set_fault(StoreFault::None);
    until("both know the hold", || {
        let knows =
            |vm: &Running| vm.front.quarantine.is_known() && vm.front.quarantine.held() == 1;
        vms.iter().all(knows)
    })
    .await;
}
