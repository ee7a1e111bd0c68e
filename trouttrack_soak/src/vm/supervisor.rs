//! A front that is started again whenever its process ends.

use super::ports::Ports;
use super::process::Process;
use super::settings;
use crate::check::REVOKE;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often it is looked whether a process has ended.
const LOOK: Duration = Duration::from_millis(20);
/// From the end of a process to the next start.
const RESTART: Duration = Duration::from_millis(200);
/// How much longer than its grace a process may take to stop.
const STOP_SLACK: Duration = Duration::from_secs(2);

/// In the log line of a caller that was disconnected because it did not read.
const READER_ENDED: &str = "\"slow-reader-ended\"";

/// The requests whose callers were disconnected because they did not read, by a log.
#[must_use]
pub fn ended_readers(log: &str) -> Vec<String> {
    let ended = log.lines().filter(|l| l.contains(READER_ENDED));
    let ids = ended.filter_map(|l| {
        let line: serde_json::Value = serde_json::from_str(l).ok()?;
        Some(line["kvs"]["request"].as_str()?.to_owned())
    });
    ids.collect()
}

/// The time between the signal to stop and the end that the settings grant.
pub(crate) const GRACE: Duration = Duration::from_secs(8);

/// Why a life ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedBy {
    /// It was told to stop.
    Stop,
    /// It was killed.
    Kill,
    /// It was told to stop, did not, and was killed.
    Overdue,
    /// Nobody asked it to end.
    Itself,
}

/// A front, and what became of its processes.
#[derive(Debug)]
pub(crate) struct Vm {
    /// Its name.
    pub(crate) name: String,
    /// Where it stands.
    failure_domain: &'static str,
    /// Its ports, the same in each life.
    pub(crate) ports: Ports,
    program: PathBuf,
    /// The settings file.
    settings: PathBuf,
    /// The log file.
    log: PathBuf,
    store: SocketAddr,
    /// The process that runs now.
    pid: Cell<Option<Pid>>,
    /// Numbers the lives from 1 on.
    life: Cell<u64>,
    /// When the process that runs now, or ran last, was started.
    began: Cell<Option<Instant>>,
    /// The longest of the lives that have ended.
    longest: Cell<Duration>,
    /// When the process that runs now was told to stop.
    told_to_stop: Cell<Option<Instant>>,
    /// Whether the process that runs now was killed.
    was_killed: Cell<bool>,
    /// It is not started again before.
    down_until: Cell<Option<Instant>>,
    /// How earlier lives ended.
    ended: RefCell<Vec<EndedBy>>,
}

impl Vm {
    /// A front that does not run yet; it keeps its files in `dir`.
    ///
    /// # Errors
    ///
    /// Its settings cannot be written, or there is no free port.
    pub(crate) fn new(
        number: usize,
        failure_domain: &'static str,
        program: &Path,
        dir: &Path,
        store: SocketAddr,
    ) -> io::Result<Rc<Self>> {
        let name = format!("front-{number}");
        let vm = Rc::new(Self {
            ports: Ports::free(number)?,
            program: program.to_owned(),
            settings: dir.join(format!("{name}.ini")),
            log: dir.join(format!("{name}.log")),
            name,
            failure_domain,
            store,
            pid: Cell::new(None),
            life: Cell::new(0),
            began: Cell::new(None),
            longest: Cell::default(),
            told_to_stop: Cell::new(None),
            was_killed: Cell::new(false),
            down_until: Cell::new(None),
            ended: RefCell::default(),
        });
        vm.write_settings(REVOKE)?;
        Ok(vm)
    }

    /// Writes the settings.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub(crate) fn write_settings(&self, revoke: Duration) -> io::Result<()> {
        let text = settings::text(
            (&self.name, self.failure_domain),
            self.store,
            &self.ports,
            revoke,
        );
        fs::write(&self.settings, text)
    }

    /// The number of the life that runs now, or ran last.
    #[must_use]
    pub(crate) fn life(&self) -> u64 {
        self.life.get()
    }

    /// How long its longest life was so far.
    #[must_use]
    pub(crate) fn longest_life(&self) -> Duration {
        let began = self.began.get().filter(|_| self.pid.get().is_some());
        let now = began.map_or(Duration::ZERO, |at| at.elapsed());
        self.longest.get().max(now)
    }

    /// The requests whose callers it has disconnected because they did not read.
    #[must_use]
    pub(crate) fn ended_readers(&self) -> Vec<String> {
        ended_readers(&fs::read_to_string(&self.log).unwrap_or_default())
    }

    /// The loopback address from which it connects to upstreams.
    pub(crate) fn source(&self) -> Ipv4Addr {
        self.ports.source
    }

    /// How its lives ended.
    #[must_use]
    pub(crate) fn ended(&self) -> Vec<EndedBy> {
        self.ended.borrow().clone()
    }

    /// Sends a signal to the process, if there is one.
    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid.get()
            && let Err(e) = kill(pid, signal)
        {
            eprintln!("{}: {signal}: {e}", self.name);
        }
    }

    /// Tells it to stop as planned.
    pub(crate) fn stop(&self) {
        if self.pid.get().is_some() && self.told_to_stop.get().is_none() {
            self.told_to_stop.set(Some(Instant::now()));
            self.signal(Signal::SIGTERM);
        }
    }

    /// Kills it.
    pub(crate) fn kill(&self) {
        self.was_killed.set(true);
        self.signal(Signal::SIGKILL);
    }

    /// Kills it, and starts it again no sooner than at a time.
    pub(crate) fn kill_until(&self, until: Instant) {
        self.down_until.set(self.down_until.get().max(Some(until)));
        self.kill();
    }

    /// Waits until it may be started again.
    async fn down(&self) {
        tokio::time::sleep(RESTART).await;
        while self.down_until.get().is_some_and(|at| Instant::now() < at) {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Makes it stand still.
    pub(crate) fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub(crate) fn go_on(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Tells it that its settings have changed.
    pub(crate) fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Runs it for as long as the soak lasts.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub(crate) async fn run(self: Rc<Self>) -> io::Result<()> {
        loop {
            let process = Process::start(&self.program, &self.settings, &self.log)?;
            self.begin_life(process.pid());
            let ended = self.wait(process).await?;
            self.longest.set(self.longest_life());
            self.pid.set(None);
            self.ended.borrow_mut().push(ended);
            self.down().await;
        }
    }

    /// A process has started; nobody has asked it to end yet.
    fn begin_life(&self, pid: Pid) {
        self.was_killed.set(false);
        self.told_to_stop.set(None);
        self.life.set(self.life.get() + 1);
        self.began.set(Some(Instant::now()));
        self.pid.set(Some(pid));
    }

    /// Waits for the end of a process; kills it if it is overdue.
    async fn wait(&self, mut process: Process) -> io::Result<EndedBy> {
        let mut overdue = false;
        while !process.has_ended()? {
            if !overdue && self.is_overdue() {
                overdue = true;
                self.signal(Signal::SIGKILL);
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(self.ended_by(overdue))
    }

    /// Whether the process was told to stop and has not in time.
    fn is_overdue(&self) -> bool {
        let told = self.told_to_stop.get();
        told.is_some_and(|at| at.elapsed() > GRACE + STOP_SLACK)
    }

    fn ended_by(&self, overdue: bool) -> EndedBy {
        if overdue {
            EndedBy::Overdue
        } else if self.was_killed.get() {
            EndedBy::Kill
        } else if self.told_to_stop.get().is_some() {
            EndedBy::Stop
        } else {
            EndedBy::Itself
        }
    }
}
