//! The network between the fronts and one worker, which can be cut and healed.
//!
//! While it is cut, nothing passes and nobody is told: bytes stay in flight, and new connections do
//! not come up. What TCP does then is done here: bytes in flight are sent again 0.2, 0.6, 1.4, 3.0
//! and 6.2 s after they were first sent, and arrive with the first of these that finds the network
//! healed. A connection that its sender resets loses them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

/// Times of TCP's retransmissions after the first transmission, in milliseconds.
const RETRANSMISSIONS_MS: [u64; 5] = [200, 600, 1400, 3000, 6200];
const STEP: Duration = Duration::from_millis(2);
const BACKLOG: i32 = 128;

#[derive(Default)]
struct Condition {
    cut: AtomicBool,
    healed_at: Mutex<Option<Instant>>,
}

impl Condition {
    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

/// A link to a worker.
#[derive(Clone)]
pub struct Link {
    /// Where the fronts connect.
    pub addr: SocketAddr,
    condition: Arc<Condition>,
}

impl Link {
    pub fn start(ip: &str, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a link");
        listener.set_nonblocking(true).expect("a listener");
        let link = Self {
            addr: listener.local_addr().expect("an address"),
            condition: Arc::default(),
        };
        let serving = link.clone();
        thread::spawn(move || serving.serve(&listener, target));
        link
    }

    /// Cuts the link.
    pub fn cut(&self) {
        self.condition.cut.store(true, Ordering::SeqCst);
    }

    /// Heals the link.
    pub fn heal(&self) {
        *self.condition.healed_at.lock().unwrap() = Some(Instant::now());
        self.condition.cut.store(false, Ordering::SeqCst);
    }

    fn serve(&self, listener: &TcpListener, target: SocketAddr) {
        loop {
            if self.condition.is_cut() {
                self.drop_new_connections(listener);
            }
            match listener.accept() {
                Ok((front, _)) => {
                    let _ = front.set_nonblocking(false);
                    if let Ok(target) = TcpStream::connect(target) {
                        self.join(front, target);
                    }
                }
                Err(_) => thread::sleep(STEP),
            }
        }
    }

    /// Lets no connection come up until the link heals: the queue of the port is kept full, so that
    /// the kernel drops the opening packets.
    fn drop_new_connections(&self, listener: &TcpListener) {
        let set_backlog = |backlog| unsafe { listen(listener.as_raw_fd(), backlog) };
        set_backlog(0);
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&self.addr, Duration::from_millis(20)) {
            fillers.push(filler);
        }
        while self.condition.is_cut() {
            thread::sleep(STEP);
        }
        // None of these came up: they are the fillers, and what slipped in before them.
        while listener.accept().is_ok() {}
        set_backlog(BACKLOG);
    }

    fn join(&self, front: TcpStream, target: TcpStream) {
        let _ = front.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let clone = |s: &TcpStream| s.try_clone().expect("a socket");
        self.carry(clone(&front), clone(&target));
        self.carry(target, front);
    }

    /// Carries bytes one way.
    fn carry(&self, mut from: TcpStream, mut to: TcpStream) {
        let flight = Arc::new(Mutex::new(Flight::default()));
        let (filling, sent_by) = (Arc::clone(&flight), Arc::clone(&self.condition));
        thread::spawn(move || {
            let mut buf = [0; 16384];
            loop {
                let read = from.read(&mut buf);
                let mut flight = filling.lock().unwrap();
                match read {
                    Ok(0) => flight.ended = true,
                    Ok(n) => {
                        flight.first_sent_at.get_or_insert_with(Instant::now);
                        flight.bytes.extend_from_slice(&buf[..n]);
                        continue;
                    }
                    Err(_) => flight.was_reset = true,
                }
                break;
            }
            // A sender may close its side first, and reset the connection then.
            while sent_by.is_cut() || filling.lock().unwrap().is_under_way() {
                thread::sleep(STEP);
                if !matches!(from.take_error(), Ok(None)) {
                    filling.lock().unwrap().was_reset = true;
                    return;
                }
            }
        });
        let condition = Arc::clone(&self.condition);
        thread::spawn(move || {
            loop {
                thread::sleep(STEP);
                let mut flight = flight.lock().unwrap();
                if condition.is_cut() {
                    flight.was_held |= flight.first_sent_at.is_some() || flight.ended;
                    continue;
                }
                if flight.was_reset {
                    flight.bytes.clear();
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
                if !flight.may_arrive(*condition.healed_at.lock().unwrap()) {
                    continue;
                }
                let bytes = std::mem::take(&mut flight.bytes);
                flight.first_sent_at = None;
                flight.was_held = false;
                let ended = flight.ended;
                drop(flight);
                if to.write_all(&bytes).is_err() {
                    return;
                }
                if ended {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
            }
        });
    }
}

/// What was sent one way and has not arrived.
#[derive(Default)]
struct Flight {
    bytes: Vec<u8>,
    first_sent_at: Option<Instant>,
    ended: bool,
    was_reset: bool,
    was_held: bool,
}

impl Flight {
    fn is_under_way(&self) -> bool {
        !self.was_reset && !self.bytes.is_empty()
    }

    /// Whether a transmission has found the network healed.
    fn may_arrive(&self, healed_at: Option<Instant>) -> bool {
        let (true, Some(first), Some(healed_at)) = (self.was_held, self.first_sent_at, healed_at)
        else {
            return true;
        };
        let sent = RETRANSMISSIONS_MS.map(|ms| first + Duration::from_millis(ms));
        let arrival = sent.into_iter().find(|at| *at >= healed_at);
        arrival.is_none_or(|at| Instant::now() >= at)
    }
}
