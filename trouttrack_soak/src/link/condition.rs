//! What a link does to the bytes on it.

use crate::plan::LinkFault;
use std::time::Duration;

/// What a link does now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Condition {
    /// Bytes come later by this.
    pub(super) delay: Duration,
    /// Those to the server do not arrive.
    cut_to_server: bool,
    /// Those from the server do not arrive.
    cut_from_server: bool,
    /// Connections are refused.
    pub(super) refuses: bool,
    /// Nobody listens any more.
    pub(super) closed: bool,
    /// Counts resets: a connection that saw a smaller number is reset.
    pub(super) resets: u64,
}

impl Condition {
    /// The condition of a link that closes for good.
    pub(super) fn closing(self) -> Self {
        Self {
            closed: true,
            resets: self.resets + 1,
            ..self
        }
    }

    /// The condition under another fault. Resets are counted on: connections
    /// compare the number with the one that they began with.
    pub(super) fn with(self, fault: Option<LinkFault>) -> Self {
        let mut new = Self {
            resets: self.resets,
            closed: self.closed,
            ..Self::default()
        };
        match fault {
            None => {}
            Some(LinkFault::Delay(delay)) => new.delay = delay,
            Some(LinkFault::CutToServer) => new.cut_to_server = true,
            Some(LinkFault::CutFromServer) => new.cut_from_server = true,
            Some(LinkFault::Silence) => {
                new.cut_to_server = true;
                new.cut_from_server = true;
            }
            Some(LinkFault::Reset) => new.resets += 1,
            Some(LinkFault::Refuse) => {
                new.refuses = true;
                new.resets += 1;
            }
        }
        new
    }
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    /// From the client to the server.
    ToServer,
    /// From the server to the client.
    FromServer,
}

impl Way {
    /// Whether bytes that go this way do not arrive now.
    pub(super) fn is_cut(self, condition: &Condition) -> bool {
        match self {
            Self::ToServer => condition.cut_to_server,
            Self::FromServer => condition.cut_from_server,
        }
    }
}
