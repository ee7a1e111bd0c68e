//! Callers that keep their connections to a VM that stops, and use them late.

use super::ask::{Asked, Callers};
use crate::bed::{LASTING_KEY, RouteName};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};
use trouttrack_http::Client;

/// Callers of a VM that stops.
const LATE: usize = 12;
/// Tokens of a prompt, and what callers of short streams say will be generated.
const SHORT: (u64, u64) = (100, 10);

impl Callers {
    /// Several callers open a connection to a VM with a plain call. Each asks once more on it, for
    /// a stream that is said to be short, at a time that is drawn.
    pub(crate) async fn ask_late(self: &Rc<Self>, vm: usize, lasts: Duration, rng: &mut SmallRng) {
        let began = Instant::now();
        for _ in 0..LATE {
            let this = Rc::clone(self);
            let at = began + lasts.mul_f64(rng.random());
            let route = match rng.random_bool(0.5) {
                true => RouteName::Resume,
                false => RouteName::Draft,
            };
            let asking = actix_rt::spawn(async move {
                let client = Client::builder().build();
                let first = this.passing_by(vm, RouteName::Many);
                this.ask_and_note(&client, first, None).await;
                sleep_until(at).await;
                let late = this.passing_by(vm, route);
                this.ask_and_note(&client, late, Some(SHORT)).await;
            });
            self.passing.borrow_mut().push(asking);
        }
        sleep(lasts).await;
    }

    async fn ask_and_note(&self, client: &Client, asked: Asked, tokens: Option<(u64, u64)>) {
        let req = asked.request();
        let req = match tokens {
            Some((prompt, guess)) => req.tokens(prompt, guess),
            None => req,
        };
        let call = self.ask(client, asked, &req).await;
        self.calls.borrow_mut().push(call);
    }

    pub(super) fn passing_by(&self, vm: usize, route: RouteName) -> Asked {
        self.asked.set(self.asked.get() + 1);
        let id = format!("p{}", self.asked.get());
        Asked::new(id, vm, route, LASTING_KEY.to_owned())
    }
}
