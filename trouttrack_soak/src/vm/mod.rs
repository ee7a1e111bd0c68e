//! A front as a process that is started again whenever it ends.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::cell::{Cell, RefCell};
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often it is looked whether a process has ended.
const LOOK: Duration = Duration::from_millis(20);
/// From the end of a process to the next start.
const RESTART: Duration = Duration::from_millis(200);
/// How much longer than its grace a process may take to stop.
const STOP_SLACK: Duration = Duration::from_secs(2);

/// The time between the signal to stop and the end that the settings grant.
pub const GRACE: Duration = Duration::from_secs(8);

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

/// The second number of the first VM's loopback address.
const FIRST_HOST: u8 = 100;
/// VMs that get addresses of their own.
const HOSTS: usize = 100;

/// The ports of a front.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Callers.
    pub callers: SocketAddr,
    /// Readiness.
    pub ready: SocketAddr,
    metrics: SocketAddr,
    peers: SocketAddr,
}

impl Ports {
    /// Ports that are free now, for the VM of this number. Between two lives
    /// nobody holds them, so they are on an address that no other VM, process
    /// or outgoing connection uses.
    ///
    /// # Errors
    ///
    /// There are none.
    pub fn free(number: usize) -> io::Result<Self> {
        let [.., high, low] = std::process::id().to_be_bytes();
        let host = Ipv4Addr::new(127, FIRST_HOST + (number % HOSTS) as u8, high, low.max(1));
        // All are held until all are found, so that they differ.
        let tcp = || TcpListener::bind((host, 0));
        let (callers, ready, metrics) = (tcp()?, tcp()?, tcp()?);
        let peers = UdpSocket::bind((host, 0))?;
        Ok(Self {
            callers: callers.local_addr()?,
            ready: ready.local_addr()?,
            metrics: metrics.local_addr()?,
            peers: peers.local_addr()?,
        })
    }
}

/// A front.
#[derive(Debug)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its ports, the same in each life.
    pub ports: Ports,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    store: SocketAddr,
    pid: Cell<Option<Pid>>,
    /// Numbers the lives from 1 on.
    life: Cell<u64>,
    told_to_stop: Cell<Option<Instant>>,
    was_killed: Cell<bool>,
    ended: RefCell<Vec<EndedBy>>,
}

impl Vm {
    /// A front that does not run yet; it keeps its files in `dir`.
    ///
    /// # Errors
    ///
    /// Its settings cannot be written, or there is no free port.
    pub fn new(
        number: usize,
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
            store,
            pid: Cell::new(None),
            life: Cell::new(0),
            told_to_stop: Cell::new(None),
            was_killed: Cell::new(false),
            ended: RefCell::default(),
        });
        vm.write_settings(crate::check::REVOKE)?;
        Ok(vm)
    }

    /// Writes the settings.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write_settings(&self, revoke: Duration) -> io::Result<()> {
        let Ports {
            callers,
            ready,
            metrics,
            peers,
        } = self.ports;
        let text = format!(
            "[vm]\nname = {}\nfailure_domain = a\n[log]\nformat = json\n\
             [platform]\nurl = http://{}\n\
             [front]\nlisten = {callers}\nready = {ready}\nmetrics = {metrics}\npeers = {peers}\n\
             [bounds]\nrevoke = {}ms\ngrace = {}s\n[retry]\nratio = {}\nextra = {}\n",
            self.name,
            self.store,
            revoke.as_millis(),
            GRACE.as_secs(),
            crate::check::RETRY_RATIO,
            crate::check::RETRY_EXTRA,
        );
        fs::write(&self.settings, text)
    }

    /// The number of the life that runs now, or ran last.
    #[must_use]
    pub fn life(&self) -> u64 {
        self.life.get()
    }

    /// How its lives ended.
    #[must_use]
    pub fn ended(&self) -> Vec<EndedBy> {
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
    pub fn stop(&self) {
        if self.pid.get().is_some() && self.told_to_stop.get().is_none() {
            self.told_to_stop.set(Some(Instant::now()));
            self.signal(Signal::SIGTERM);
        }
    }

    /// Kills it.
    pub fn kill(&self) {
        self.was_killed.set(true);
        self.signal(Signal::SIGKILL);
    }

    /// Makes it stand still.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn go_on(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Tells it that its settings have changed.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Runs it for as long as the soak lasts.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub async fn run(self: Rc<Self>) -> io::Result<()> {
        loop {
            let log = File::options().create(true).append(true).open(&self.log)?;
            let errors = log.try_clone()?;
            let child = Command::new(&self.program)
                .arg("--settings")
                .arg(&self.settings)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(errors)
                .spawn()?;
            self.was_killed.set(false);
            self.told_to_stop.set(None);
            self.life.set(self.life.get() + 1);
            self.pid.set(Some(Pid::from_raw(child.id() as i32)));
            let ended = self.wait(KilledWhenDropped(child)).await?;
            self.pid.set(None);
            self.ended.borrow_mut().push(ended);
            tokio::time::sleep(RESTART).await;
        }
    }

    async fn wait(&self, mut child: KilledWhenDropped) -> io::Result<EndedBy> {
        let mut overdue = false;
        while child.0.try_wait()?.is_none() {
            let told = self.told_to_stop.get();
            if !overdue && told.is_some_and(|at| at.elapsed() > GRACE + STOP_SLACK) {
                overdue = true;
                self.signal(Signal::SIGKILL);
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(match (overdue, self.was_killed.get()) {
            (true, _) => EndedBy::Overdue,
            (false, true) => EndedBy::Kill,
            (false, false) if self.told_to_stop.get().is_some() => EndedBy::Stop,
            (false, false) => EndedBy::Itself,
        })
    }
}

/// A process that does not outlive the soak.
struct KilledWhenDropped(Child);

impl Drop for KilledWhenDropped {
    fn drop(&mut self) {
        // It may have ended already.
        drop(self.0.kill());
        drop(self.0.wait());
    }
}
