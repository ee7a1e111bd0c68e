//! Upstreams that leave, crash and are replaced.

use super::routes::{ENGINES, PLAIN};
use crate::link::Link;
use crate::plan::{LinkFault, Size};
use std::cell::{Cell, RefCell};
use std::io;
use std::time::{Duration, Instant};
use trouttrack_platform_standin::{Behaviour, Store, Upstream};

/// The failure domains in which upstreams stand, by turns.
pub const DOMAINS: [&str; 2] = ["a", "b"];
/// The failure domains of larger fleets, of which the first are those.
pub(super) const ALL_DOMAINS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
/// Events of every stream.
pub const EVENTS: u64 = 60;
/// The body of a request that ends each engine that begins to run it.
pub const FATAL: &str = "what ends an engine";
/// The part of prompts that ends each engine that begins to answer a request with it, and the one
/// that such requests share with all others.
pub const FATAL_PART: &str = "bad0";
pub(crate) const COMMON_PART: &str = "5c1e07a2";
/// The body of a request for long events.
pub(crate) const LONG: &str = "long events";
/// Bytes that are added to a long event: a stream holds more than the system's socket buffers.
pub const LONG_BY: usize = 120 << 10;
/// Between two events: a stream takes about a second.
pub(crate) const PACE: Duration = Duration::from_millis(15);

/// An upstream and the link before it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// The upstream; its address is the link's.
    pub(crate) upstream: Upstream,
    /// The link.
    pub(crate) link: Link,
}

impl Member {
    /// Nobody listens at the link either once the upstream has ended.
    async fn close_after_its_end(self) {
        self.upstream.end().await;
        self.link.close();
    }
}

/// All upstreams: those of now, and the books of those that were.
#[derive(Debug)]
pub(crate) struct Upstreams {
    now: RefCell<Vec<Member>>,
    all: RefCell<Vec<Upstream>>,
    /// All links, also of those that were: their ports stay reserved.
    links: RefCell<Vec<Link>>,
    /// Who was said to leave, and when the store took that.
    left: RefCell<Vec<(String, Instant)>>,
    /// Those that have gone, and that only the act by which they went replaces.
    gone: RefCell<Vec<String>>,
    started: Cell<usize>,
    /// Failure domains in which they stand by turns.
    domains: usize,
    /// Software versions that upstreams have by turns.
    versions: usize,
    /// Releases so far, each of which raises the versions of those that start from then on.
    releases: Cell<usize>,
}

impl Upstreams {
    /// Starts the plain upstreams of a size, and as many engines, of so many versions.
    pub(super) async fn start(store: &Store, size: Size, versions: usize) -> io::Result<Self> {
        let upstreams = Self {
            now: RefCell::default(),
            all: RefCell::default(),
            links: RefCell::default(),
            left: RefCell::default(),
            gone: RefCell::default(),
            started: Cell::new(0),
            domains: size.domains.clamp(1, ALL_DOMAINS.len()),
            versions,
            releases: Cell::new(0),
        };
        for service in [PLAIN, ENGINES] {
            for _ in 0..size.upstreams {
                let member = upstreams.new_member(service).await?;
                store.put_upstream(&member.upstream, false);
                upstreams.now.borrow_mut().push(member);
            }
        }
        Ok(upstreams)
    }

    async fn new_member(&self, service: &str) -> io::Result<Member> {
        let number = self.started.get() + 1;
        self.started.set(number);
        let domain = ALL_DOMAINS[number % self.domains];
        let mut upstream = Upstream::start(&format!("u{number}"), service, domain).await;
        upstream.version = format!("v{}", 1 + number % self.versions + self.releases.get());
        if service == ENGINES {
            upstream.name_runs(&upstream.version);
            if number.is_multiple_of(2) {
                upstream.stop_inside_events();
            }
            upstream.pace(PACE);
            upstream.always(Behaviour::Stream(EVENTS));
            upstream.ends_under(FATAL);
            upstream.ends_under_part(FATAL_PART);
            upstream.pads_under(LONG, LONG_BY);
        }
        let link = Link::before(upstream.addr).await?;
        self.all.borrow_mut().push(upstream.clone());
        self.links.borrow_mut().push(link.clone());
        upstream.addr = link.addr();
        let member = Member { upstream, link };
        actix_rt::spawn(member.clone().close_after_its_end());
        Ok(member)
    }

    /// Upstreams that start from now on have a newer version. Starts so many engines, and returns
    /// those of now.
    ///
    /// # Errors
    ///
    /// There is no free port.
    pub(crate) async fn release(&self, store: &Store, first: usize) -> io::Result<Vec<Member>> {
        let mut older = self.now();
        older.retain(|m| m.upstream.service == ENGINES);
        self.releases.set(self.releases.get() + 1);
        for _ in 0..first {
            let member = self.new_member(ENGINES).await?;
            store.put_upstream(&member.upstream, false);
            self.now.borrow_mut().push(member);
        }
        Ok(older)
    }

    /// Ends a member that has no successor.
    pub(crate) fn retire(&self, store: &Store, old: &Member) {
        old.link.set(Some(LinkFault::Refuse));
        store.remove_upstream(&old.upstream.id);
        let mut now = self.now.borrow_mut();
        now.retain(|m| m.upstream.id != old.upstream.id);
    }

    /// A quarter of the service of the upstream at a place: that one and those that follow it.
    #[must_use]
    pub(crate) fn quarter(&self, place: usize) -> Vec<Member> {
        let service = self.at(place).upstream.service;
        let mut all = self.now();
        let first = place % all.len();
        all.rotate_left(first);
        all.retain(|m| m.upstream.service == service);
        all.truncate(all.len().div_ceil(4));
        all
    }

    /// Ends a member without a word; nobody listens at its link any more.
    pub(crate) fn vanish(&self, member: &Member) {
        self.gone.borrow_mut().push(member.upstream.id.clone());
        member.upstream.kill();
    }

    /// Those of now that have ended.
    #[must_use]
    pub(crate) fn ended(&self) -> Vec<Member> {
        let now = self.now.borrow();
        let ended = now.iter().filter(|m| {
            let id = &m.upstream.id;
            m.upstream.has_ended() && !self.gone.borrow().contains(id)
        });
        ended.cloned().collect()
    }

    /// The upstream at a place.
    #[must_use]
    pub(crate) fn at(&self, place: usize) -> Member {
        let now = self.now.borrow();
        now[place % now.len()].clone()
    }

    /// Those of now.
    #[must_use]
    pub(crate) fn now(&self) -> Vec<Member> {
        self.now.borrow().clone()
    }

    /// The links of all upstreams of now.
    #[must_use]
    pub(crate) fn links(&self) -> Vec<Link> {
        self.now().into_iter().map(|m| m.link).collect()
    }

    /// Every upstream that ever was, for its books.
    #[must_use]
    pub(crate) fn all(&self) -> Vec<Upstream> {
        self.all.borrow().clone()
    }

    /// The store has taken that an upstream leaves.
    pub(crate) fn note_leaving(&self, id: &str) {
        let now = Instant::now();
        self.left.borrow_mut().push((id.to_owned(), now));
    }

    /// When the store took that an upstream leaves.
    #[must_use]
    pub(crate) fn left_at(&self, id: &str) -> Option<Instant> {
        let left = self.left.borrow();
        left.iter().find(|(l, _)| l == id).map(|(_, at)| *at)
    }

    /// Whether a member is still there.
    #[must_use]
    pub(crate) fn has(&self, id: &str) -> bool {
        self.now.borrow().iter().any(|m| m.upstream.id == id)
    }

    /// Ends a member, and puts another in its place.
    ///
    /// # Errors
    ///
    /// There is no free port.
    pub(crate) async fn replace(&self, store: &Store, old: &Member) -> io::Result<()> {
        old.link.set(Some(LinkFault::Refuse));
        store.remove_upstream(&old.upstream.id);
        let new = self.new_member(&old.upstream.service).await?;
        let mut now = self.now.borrow_mut();
        if let Some(place) = now.iter_mut().find(|m| m.upstream.id == old.upstream.id) {
            store.put_upstream(&new.upstream, false);
            *place = new;
        }
        Ok(())
    }
}
