//! A move under way, and what became of it.

use crate::state::{Front, Upstream};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// How long giving up a copy may take.
const DISCARD: Duration = Duration::from_secs(1);

/// The handle of a copy that nobody has used.
pub(super) type Unused = Rc<RefCell<Option<String>>>;

/// A generation that was moved.
#[derive(Clone, Debug)]
pub(crate) struct Moved {
    /// Where it goes on.
    pub target: Rc<Upstream>,
    /// The copy's handle.
    pub handle: String,
    /// How long the last step took, with the generation stopped.
    pub stopping: Duration,
}

/// What became of a move.
#[derive(Clone, Debug)]
pub(crate) enum Carried {
    /// The generation is stopped and its memory is at the target.
    Moved(Moved),
    /// The generation was left where it is.
    NotMoved,
    /// The generation may have been stopped, and goes on nowhere.
    Stopped,
}

/// A move under way; dropped, it is given up.
#[derive(Debug)]
pub(crate) struct CarryTask {
    task: JoinHandle<Carried>,
    source: Rc<Upstream>,
    unused: Unused,
}

impl CarryTask {
    /// A move that `task` carries out.
    pub(super) fn new(task: JoinHandle<Carried>, source: Rc<Upstream>, unused: Unused) -> Self {
        Self {
            task,
            source,
            unused,
        }
    }

    /// Waits for the outcome; may be called again if it was not waited out.
    pub(crate) async fn finished(&mut self) -> Carried {
        // A task that panicked has moved nothing that could be used.
        (&mut self.task).await.unwrap_or(Carried::NotMoved)
    }

    /// Waits for the outcome.
    pub(crate) async fn outcome(mut self) -> Carried {
        self.finished().await
    }

    /// The generation ended by itself: a copy would only take room.
    pub(crate) fn discard(self, front: &Rc<Front>) {
        let handle = self.unused.borrow_mut().take();
        if let Some(handle) = handle {
            let (front, source) = (Rc::clone(front), Rc::clone(&self.source));
            actix_rt::spawn(async move {
                let discarded = front.engines.discard(source.addr, &handle, DISCARD).await;
                if let Err(e) = discarded {
                    log::debug!("{e}");
                }
            });
        }
    }
}

impl Drop for CarryTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}
