//! What can be done to a fleet.

use std::time::Duration;
use trouttrack_platform_standin::OpenConnections;

/// What a link does to the bytes on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// They come later.
    Delay(Duration),
    /// Those to the server do not arrive while it lasts.
    CutToServer,
    /// Those from the server do not arrive while it lasts.
    CutFromServer,
    /// None arrives while it lasts.
    Silence,
    /// All connections are reset, once.
    Reset,
    /// Connections are refused while it lasts, and all are reset.
    Refuse,
}

/// Which links a fault is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Between callers and a VM.
    Callers(usize),
    /// Between a VM and the store.
    Store(usize),
    /// Between the VMs and an upstream.
    Upstream(usize),
}

/// How the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// Calls are refused.
    Refuse,
    /// Calls get no answer.
    Silent,
    /// Connections are reset.
    Reset,
    /// Watches hear nothing.
    DeafWatches,
    /// Calls get no answer, and upstreams' entries lapse until it is back.
    Lapse,
}

/// How the older upstreams of a release leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// They say so, and serve on for a while.
    Said,
    /// Their entries disappear at once, and they serve on.
    Unsaid,
    /// Some say so.
    Mixed,
}

/// One thing that is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// A VM gets SIGTERM.
    Stop(usize),
    /// A VM is killed.
    Kill(usize),
    /// A VM stands still.
    Pause(usize),
    /// A VM's settings change, and it gets SIGHUP.
    Reload(usize),
    /// Links are disturbed.
    Link(Place, LinkFault),
    /// The store fails.
    Store(StoreFailure),
    /// The store turns a VM away and serves the others.
    TurnVmAway(usize, StoreFailure),
    /// The store forgets its history.
    ForgetHistory,
    /// The store is backed up, without any disturbance.
    BackUpStore,
    /// The store becomes unavailable and is restored from the last backup. Operators and upstreams
    /// then rewrite the lost data.
    RestoreStore,
    /// An upstream says that it leaves, serves on for a while and ends; another
    /// takes its place.
    Leave(usize),
    /// The same, but its entry disappears at once.
    LeaveUnsaid(usize),
    /// The same, but it serves on for many seconds.
    LeaveUnsaidSlowly(usize),
    /// An upstream crashes; another takes its place later.
    Crash(usize),
    /// An upstream answers some requests badly.
    Misbehave(usize),
    /// A new version of the configuration.
    Configure,
    /// A key is taken away.
    Revoke,
    /// A failure domain is evacuated while it lasts.
    Evacuate(&'static str),
    /// An upstream turns cold while it lasts.
    TurnCold(usize),
    /// An upstream turns away all that reaches it while it lasts, and asks for rest.
    TurnAway(usize),
    /// An upstream says in its answers that it leaves, the store takes that only when it
    /// is over; then the upstream serves on for a while and ends.
    LeaveByAnswers(usize),
    /// An upstream names a limit of requests a second in its answers while it lasts.
    NameLimit(usize),
    /// An engine's events come two to three times later while it lasts.
    SlowDown(usize),
    /// The same, until it ends.
    SlowForGood(usize),
    /// The events of all engines come three times later while it lasts: they are crowded.
    CrowdEngines,
    /// Callers that have kept their connections to a VM ask for short streams, each once, while it
    /// lasts.
    AskLate(usize),
    /// A quarter of an upstream's service ends at once without a word, while the store is
    /// away: the entries stay, and connections are refused.
    Vanish(usize),
    /// Many patient requests with long prompts while it lasts, then urgent ones.
    Burst,
    /// Callers of a VM ask for long streams at once, and stop reading or read slowly.
    SlowReaders(usize),
    /// So many VMs from this one on, by their numbers, are partitioned from all upstreams while it
    /// lasts.
    LosePaths(usize, usize, OpenConnections),
    /// All VMs are killed, and started again when it is over.
    KillAll,
    /// So many engines of a newer software version start; those of older versions leave one after
    /// the other while it lasts, and newer ones take their places.
    Release(usize, Departure),
    /// An engine answers its next streams in ways that may put events out of order.
    Disorder(usize),
    /// An upstream answers its next requests without end.
    AnswerEndlessly(usize),
    /// Another writer puts odd entries among those of the upstreams while it lasts.
    OddEntries,
    /// A VM gets many new connections at once, and again as they are closed, while it lasts.
    Crowd(usize),
    /// A request that ends each engine that begins to run it comes again and again, at
    /// any VM, while it lasts.
    EndEngines,
    /// Requests with a part in their prompts that ends each engine that begins to answer one, no
    /// two of them alike, come at any VM while it lasts.
    EndEnginesByPart,
}

impl Act {
    /// Whether an upstream says that it leaves, and ends a little later.
    #[must_use]
    pub fn is_announced_departure(self) -> bool {
        matches!(self, Self::Leave(_) | Self::LeaveByAnswers(_))
    }

    /// Whether it is planned work, which must cut off no request; the demand of callers
    /// must not either.
    #[must_use]
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Stop(_)
                | Self::Reload(_)
                | Self::Leave(_)
                | Self::LeaveByAnswers(_)
                | Self::BackUpStore
                | Self::Configure
                | Self::Revoke
                | Self::Evacuate(_)
                | Self::TurnCold(_)
                | Self::NameLimit(_)
                | Self::Burst
                | Self::SlowReaders(_)
                | Self::CrowdEngines
                | Self::AskLate(_)
                | Self::Release(..)
        )
    }
}
