//! Faults that a test asks for.

use serde::{Deserialize, Serialize};

/// Which call a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum On {
    /// A new completion.
    Submit,
    /// Attaching to a stream.
    Attach,
    /// Cancelling a stream.
    Cancel,
    /// The load report.
    Load,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// It says that it does not run the request, and does not.
    Refuse,
    /// The connection is cut.
    Reset,
    /// Nothing more is sent; the connection stays open.
    Silent,
    /// The last frames are sent again.
    Duplicate,
    /// A frame is left out.
    Gap,
    /// A frame names another stream.
    Crossed,
    /// A frame names another generation.
    OtherGeneration,
    /// The engine ends the generation and says so.
    Abort,
    /// The call is never answered and has no effect.
    LoseCall,
    /// The call is never answered; it takes effect a little later, if it still
    /// may by then.
    LateCall,
    /// The request is taken, but nothing at all is answered, and the stream
    /// is forgotten with everything else, as by a restart.
    Restart,
}

/// One fault, armed until it has struck `times` times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Which call.
    pub on: On,
    /// What goes wrong.
    pub kind: FaultKind,
    /// Before which token.
    #[serde(default)]
    pub at: u64,
    /// How often.
    #[serde(default = "once")]
    pub times: u32,
}

fn once() -> u32 {
    1
}

/// The faults that are armed.
#[derive(Debug, Default)]
pub(super) struct Armed(Vec<Fault>);

impl Armed {
    pub(super) fn arm(&mut self, fault: Fault) {
        self.0.push(fault);
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// The fault that strikes this call, if one is armed.
    pub(super) fn strike(&mut self, on: On) -> Option<Fault> {
        let i = self.0.iter().position(|f| f.on == on && f.times > 0)?;
        self.0[i].times -= 1;
        let fault = self.0[i];
        if fault.times == 0 {
            self.0.remove(i);
        }
        Some(fault)
    }
}
