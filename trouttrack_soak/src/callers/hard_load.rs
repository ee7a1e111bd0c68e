//! Callers who ask all at once, and callers who read slowly or not at all.

use super::ask::{Callers, HUNG_AFTER, PATIENCE};
use super::call::{Told, is_success};
use crate::bed::RouteName;
use crate::check::CONNECTIONS;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::io::ErrorKind;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use trouttrack_http::{Answer, Client, Reuse, SendError};
use trouttrack_platform_standin::Reply;

/// Between two patient requests of a burst, and the urgent ones that follow it.
const BURST_PAUSE: Duration = Duration::from_millis(25);
const URGENT: usize = 10;
/// Callers that begin to read slowly at once.
const READERS: Range<usize> = 5..9;
/// How long one stops reading, in seconds.
const STALL: Range<f64> = 2.0..5.0;
/// Between two pieces that one reads who reads on slowly.
const PIECE_PAUSE: Duration = Duration::from_secs(1);
/// How soon one who does not read notices that the VM has gone, or that the soak ends.
const LOOK: Duration = Duration::from_millis(50);

/// How a caller reads.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// Stops once for so long.
    Stalls(Duration),
    /// Stops for good, and keeps its connection.
    Stops,
    /// Reads a piece each second.
    Trickles,
}

impl Manner {
    fn draw(rng: &mut SmallRng) -> Self {
        match rng.random_range(0..3) {
            0 => Self::Stalls(Duration::from_secs_f64(rng.random_range(STALL))),
            1 => Self::Stops,
            _ => Self::Trickles,
        }
    }

    /// How long it does not read after so many pieces.
    fn pause(self, pieces: usize) -> Duration {
        match self {
            Self::Stalls(lasts) if pieces == 1 => lasts,
            Self::Stalls(_) => Duration::ZERO,
            Self::Stops => Duration::MAX,
            Self::Trickles => PIECE_PAUSE,
        }
    }
}

/// Connections that a crowd keeps open, if the VM does.
const CROWD: usize = 2 * CONNECTIONS;

/// Whether the other side has closed a connection on which nothing was sent.
fn is_closed(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    !read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

impl Callers {
    /// Many patient requests, and urgent ones right after them, at any VM.
    pub(crate) async fn burst(self: &Rc<Self>, lasts: Duration) {
        let began = Instant::now();
        while began.elapsed() < lasts {
            self.ask_once(RouteName::Patient);
            sleep(BURST_PAUSE).await;
        }
        (0..URGENT).for_each(|_| self.ask_once(RouteName::Urgent));
    }

    /// Several callers of a VM begin to read slowly, each on a connection of its own.
    pub(crate) fn read_slowly(self: &Rc<Self>, vm: usize, rng: &mut SmallRng) {
        for _ in 0..rng.random_range(READERS) {
            let (this, manner) = (Rc::clone(self), Manner::draw(rng));
            let asked = self.passing_by(vm, RouteName::Long);
            let reading = actix_rt::spawn(async move {
                let told = this.slowly(asked.vm, asked.request().build(), manner);
                let call = this.note(asked, told).await;
                this.calls.borrow_mut().push(call);
            });
            self.passing.borrow_mut().push(reading);
        }
    }

    /// Opens connections to a VM without a link between, and keeps them or opens them again for
    /// so long.
    pub(crate) async fn crowd(&self, vm: usize, lasts: Duration) {
        let to = self.bed.vms[vm].ports.callers;
        let until = Instant::now() + lasts;
        let mut open: Vec<TcpStream> = Vec::new();
        while Instant::now() < until {
            open.retain(|stream| !is_closed(stream));
            while open.len() < CROWD {
                let Ok(Ok(stream)) = timeout(LOOK, TcpStream::connect(to)).await else {
                    break;
                };
                open.push(stream);
            }
            sleep(LOOK).await;
        }
    }

    fn ask_once(self: &Rc<Self>, route: RouteName) {
        let ready = self.bed.ready();
        let this = Rc::clone(self);
        let asked = self.passing_by(ready[self.asked.get() as usize % ready.len()], route);
        let asking = actix_rt::spawn(async move {
            let req = asked.request();
            let call = this.ask(&Client::builder().build(), asked, &req).await;
            this.calls.borrow_mut().push(call);
        });
        self.passing.borrow_mut().push(asking);
    }

    /// Asks a VM without a link between, which would read in the caller's place.
    async fn slowly(&self, vm: usize, req: http::Request<bytes::Bytes>, manner: Manner) -> Told {
        let client = Client::builder().build();
        let asking = client.send(self.bed.vms[vm].ports.callers, req, Reuse::Never);
        let beginning = async {
            let mut answer = asking.await?;
            let mut reply = Reply::begin(&answer);
            if !is_success(&reply) {
                return Ok((None, Reply::read(answer).await));
            }
            match answer.body.next().await {
                Ok(Some(bytes)) => {
                    reply.body.extend_from_slice(&bytes);
                    return Ok((Some(answer), reply));
                }
                Ok(None) => reply.whole = true,
                Err(_) => {}
            }
            Ok::<_, SendError>((None, reply))
        };
        // Until the first piece of a success it reads like any other.
        match timeout(PATIENCE + HUNG_AFTER, beginning).await {
            Ok(Ok((None, reply))) => Told::Answer(reply),
            Ok(Ok((Some(answer), reply))) => {
                Told::Answer(self.take_slowly(vm, answer, reply, manner).await)
            }
            Ok(Err(e)) => Told::NoAnswer {
                was_sent: !e.was_not_sent(),
            },
            Err(_) => Told::Nothing,
        }
    }

    /// Reads on after the first piece in a manner, until the end, the end of the VM's process, or
    /// that of the soak.
    async fn take_slowly(
        &self,
        vm: usize,
        mut answer: Answer,
        mut reply: Reply,
        manner: Manner,
    ) -> Reply {
        let life = self.bed.vms[vm].life();
        let mut pieces = 1;
        let mut read_at = Instant::now();
        while !self.ending.get() && life == self.bed.vms[vm].life() {
            if read_at.elapsed() < manner.pause(pieces) {
                sleep(LOOK).await;
                continue;
            }
            match timeout(LOOK, answer.body.next()).await {
                Err(_) => {}
                Ok(Ok(Some(bytes))) => {
                    reply.body.extend_from_slice(&bytes);
                    pieces += 1;
                    read_at = Instant::now();
                }
                Ok(Ok(None)) => {
                    reply.whole = true;
                    break;
                }
                Ok(Err(_)) => break,
            }
        }
        reply
    }
}
