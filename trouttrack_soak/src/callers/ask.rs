//! Callers that ask until they are to end.

use super::call::{Call, Told};
use crate::bed::{Bed, COMMON_PART, FATAL, FATAL_PART, HOST, LASTING_KEY, LONG, RouteName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use trouttrack_http::{Answer, Client, Reuse, SendError};
use trouttrack_platform_standin::{CallerRequest, Reply};

/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MS: Range<u64> = 2..60;
/// How long callers wait: longer than a stream takes.
pub(super) const PATIENCE: Duration = Duration::from_secs(4);
/// How long those wait who have time to spare: a stream still ends within it after the
/// longest wait for a place. Routes hold a request for as long.
const LONG_PATIENCE: Duration = Duration::from_secs(6);
/// How much longer than that an answer is waited for before it is missed.
pub(super) const HUNG_AFTER: Duration = Duration::from_millis(2500);
/// Tokens of a prompt.
const PROMPT_TOKENS: u64 = 100;
const LONG_PROMPT_TOKENS: u64 = 2000;
/// What callers say will be generated: four tokens in each of a stream's events.
const GUESSED_TOKENS: u64 = 240;
/// Begins the ids of requests that end engines.
pub(crate) const FATAL_ID: &str = "fatal-";
/// Begins the ids of requests with a part that ends engines.
pub(crate) const FATAL_PART_ID: &str = "part-";
/// The share of requests on a route that only one configuration has.
const MARKERS: f64 = 0.1;
/// The share of requests with a key that comes and goes.
const PASSING_KEYS: f64 = 0.3;

/// Everything that callers asked.
#[derive(Debug)]
pub(crate) struct Callers {
    pub(super) bed: Rc<Bed>,
    pub(super) calls: RefCell<Vec<Call>>,
    /// Those who ask once.
    pub(super) passing: RefCell<Vec<JoinHandle<()>>>,
    /// Numbers the requests of those who ask once.
    pub(super) asked: Cell<u64>,
    /// No more requests are made.
    pub(super) ending: Cell<bool>,
}

impl Callers {
    /// Nobody has asked yet.
    #[must_use]
    pub(crate) fn new(bed: Rc<Bed>) -> Rc<Self> {
        Rc::new(Self {
            bed,
            calls: RefCell::default(),
            passing: RefCell::default(),
            asked: Cell::new(0),
            ending: Cell::new(false),
        })
    }

    /// Makes the callers end after the request that they are at.
    pub(crate) fn end(&self) {
        self.ending.set(true);
    }

    /// What was asked and told.
    #[must_use]
    pub(crate) fn calls(&self) -> Vec<Call> {
        self.calls.borrow().clone()
    }

    /// Waits for those who ask once.
    pub(crate) async fn passing(&self) {
        let passing = self.passing.take();
        for caller in passing {
            if let Err(e) = caller.await {
                eprintln!("a caller ended early: {e}");
            }
        }
    }

    /// One caller, until callers are to end. It keeps its connections as long
    /// as they are kept for it.
    pub(crate) async fn run(self: Rc<Self>, number: usize, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ ((number as u64 + 1) << 32));
        // Returns draw by themselves: what callers ask stays that of the seed.
        let mut returns = SmallRng::seed_from_u64(rng.clone().random());
        let client = Client::builder().build();
        let mut count = 0;
        while !self.ending.get() {
            count += 1;
            let ready = self.bed.ready();
            let vm = ready[rng.random_range(0..ready.len())];
            let (route, key) = (self.route(&mut rng), self.key(&mut rng));
            let id = format!("c{number}-{count}");
            let asked = Asked::new(id, vm, route, key);
            let req = asked.request();
            let call = self.ask(&client, asked, &req).await;
            self.calls.borrow_mut().push(call.clone());
            self.return_for_rest(&call, PATIENCE, &mut returns).await;
            let pause = rng.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Asks once, at any VM, for what ends each engine that runs it.
    pub(crate) async fn ask_fatal(self: Rc<Self>, number: usize, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ready = self.bed.ready();
        let vm = ready[rng.random_range(0..ready.len())];
        let (id, route) = (format!("{FATAL_ID}{number}"), RouteName::Resume);
        let asked = Asked::new(id, vm, route, LASTING_KEY.to_owned());
        let client = Client::builder().build();
        let req = asked.request().post(FATAL);
        let call = self.ask(&client, asked, &req).await;
        self.calls.borrow_mut().push(call);
    }

    /// Asks once, at any VM, with a part that ends each engine that begins to answer. Nothing but
    /// that part and the common one is the same in another request.
    pub(crate) async fn ask_with_fatal_part(self: Rc<Self>, number: usize, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ready = self.bed.ready();
        let vm = ready[rng.random_range(0..ready.len())];
        let route = match rng.random_bool(0.5) {
            true => RouteName::Resume,
            false => RouteName::Draft,
        };
        let id = format!("{FATAL_PART_ID}{number}");
        let asked = Asked::new(id.clone(), vm, route, LASTING_KEY.to_owned());
        let client = Client::builder().build();
        let req = asked.request();
        let mut req = match rng.random_bool(0.5) {
            true => req.parts(&[COMMON_PART, FATAL_PART, &id]),
            false => req.parts(&[FATAL_PART, &id]),
        };
        req.body = id.into();
        let call = self.ask(&client, asked, &req).await;
        self.calls.borrow_mut().push(call);
    }

    fn route(&self, rng: &mut SmallRng) -> RouteName {
        if !rng.random_bool(MARKERS) {
            return RouteName::LASTING[rng.random_range(0..RouteName::LASTING.len())];
        }
        let newest = self.bed.configs.borrow().newest().version;
        RouteName::Marker(rng.random_range(newest.saturating_sub(1).max(1)..=newest))
    }

    fn key(&self, rng: &mut SmallRng) -> String {
        if !rng.random_bool(PASSING_KEYS) {
            return LASTING_KEY.to_owned();
        }
        let configs = self.bed.configs.borrow();
        let keys = &configs.passing_keys;
        let one = rng.random_range(keys.len().saturating_sub(2)..keys.len());
        keys[one].text.clone()
    }

    pub(super) async fn ask(&self, client: &Client, asked: Asked, req: &CallerRequest) -> Call {
        self.ask_by(client, asked, req, Reuse::Any).await
    }

    pub(super) async fn ask_by(
        &self,
        client: &Client,
        asked: Asked,
        req: &CallerRequest,
        reuse: Reuse,
    ) -> Call {
        let to = self.bed.caller_links[asked.vm].addr();
        let asking = async { take(client.send(to, req.build(), reuse).await).await };
        let told = tokio::time::timeout(req.patience + HUNG_AFTER, asking);
        let told = async { told.await.unwrap_or(Told::Nothing) };
        self.note(asked, told).await
    }

    /// Waits for what a caller is told.
    pub(super) async fn note(&self, asked: Asked, told: impl Future<Output = Told>) -> Call {
        let Asked {
            id,
            vm,
            route,
            key,
            resumes,
            had,
            ..
        } = asked;
        let life = self.bed.vms[vm].life();
        let sent = Instant::now();
        let told = told.await;
        let same_life = life == self.bed.vms[vm].life();
        Call {
            id,
            vm,
            life: same_life.then_some(life),
            route,
            key,
            resumes,
            had,
            sent,
            ended: Instant::now(),
            told,
        }
    }
}

/// What is asked, and of which VM.
pub(super) struct Asked {
    pub(super) id: String,
    pub(super) vm: usize,
    pub(super) route: RouteName,
    pub(super) key: String,
    /// The call that brought the first event of the stream that is taken up, if one is.
    resumes: Option<String>,
    /// Whether the request names that call.
    names_first: bool,
    /// Events of that stream that the caller has.
    had: u64,
    /// How long the caller waits, if not as long as its route says.
    patience: Option<Duration>,
}

impl Asked {
    pub(super) fn new(id: String, vm: usize, route: RouteName, key: String) -> Self {
        Self {
            id,
            vm,
            route,
            key,
            resumes: None,
            names_first: true,
            had: 0,
            patience: None,
        }
    }

    /// The same for the rest of a stream that `first` began, from a caller that has `had` events
    /// and waits for no longer than `patience`.
    pub(super) fn resuming(self, first: &str, had: u64, patience: Duration) -> Self {
        Self {
            resumes: Some(first.to_owned()),
            had,
            patience: Some(patience),
            ..self
        }
    }

    /// The same without naming the call that began the stream.
    pub(super) fn without_first(self) -> Self {
        Self {
            names_first: false,
            ..self
        }
    }

    fn patience(&self) -> Duration {
        self.patience.unwrap_or(match self.route {
            RouteName::Patient => LONG_PATIENCE,
            _ => PATIENCE,
        })
    }

    pub(super) fn request(&self) -> CallerRequest {
        let req = CallerRequest::get(&self.id, HOST, &self.route.target())
            .key(&self.key)
            .patience(self.patience());
        let req = match &self.resumes {
            Some(first) if self.names_first => req.resuming(first, self.had),
            Some(_) => req.after_event(self.had),
            None => req,
        };
        let stream = |body, prompt| {
            let req = req.clone().post(body).tokens(prompt, GUESSED_TOKENS);
            req.parts(&[COMMON_PART, &self.id])
        };
        match self.route {
            RouteName::Long => stream(LONG, PROMPT_TOKENS),
            RouteName::Patient => stream("a prompt", LONG_PROMPT_TOKENS),
            route if route.kind().is_stream() => stream("a prompt", PROMPT_TOKENS),
            _ => req,
        }
    }
}

/// Takes an answer as far as it comes.
async fn take(answer: Result<Answer, SendError>) -> Told {
    match answer {
        Ok(answer) => Told::Answer(Reply::read(answer).await),
        Err(e) => Told::NoAnswer {
            was_sent: !e.was_not_sent(),
        },
    }
}
