//! Handle of a running move, and its outcome.

use crate::state::{Front, Upstream};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Time limit of the request that discards a copy.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle of a copy that has not been used.
pub(super) type UnusedCopy = Rc<RefCell<Option<String>>>;

/// Generation that was moved.
#[derive(Clone, Debug)]
pub(crate) struct Moved {
    /// Engine that continues it.
    pub target: Rc<Upstream>,
    /// Handle of the copy.
    pub handle: String,
    /// Duration of the last step, during which the generation was stopped.
    pub stopping: Duration,
}

/// Outcome of a move.
#[derive(Clone, Debug)]
pub(crate) enum MoveEnd {
    /// The generation is stopped and the target holds its KV cache.
    Moved(Moved),
    /// The generation stays at its engine.
    NotMoved,
    /// The generation may have been stopped, and no engine continues it.
    Stopped,
}

/// Running move. Dropping it aborts the move.
#[derive(Debug)]
pub(crate) struct MoveTask {
    task: JoinHandle<MoveEnd>,
    source: Rc<Upstream>,
    unused_copy: UnusedCopy,
}

impl MoveTask {
    pub(super) fn new(
        task: JoinHandle<MoveEnd>,
        source: Rc<Upstream>,
        unused_copy: UnusedCopy,
    ) -> Self {
        Self {
            task,
            source,
            unused_copy,
        }
    }

    /// Waits for the outcome. Cancel-safe: may be called again if the future was dropped.
    pub(crate) async fn finished(&mut self) -> MoveEnd {
        // A task that panicked has produced no usable copy.
        (&mut self.task).await.unwrap_or(MoveEnd::NotMoved)
    }

    /// Waits for the outcome.
    pub(crate) async fn outcome(mut self) -> MoveEnd {
        self.finished().await
    }

    /// Discards the copy of a generation that ended by itself, to free its room at the target.
    pub(crate) fn discard(self, front: &Rc<Front>) {
        let handle = self.unused_copy.borrow_mut().take();
        if let Some(handle) = handle {
            let (front, source) = (Rc::clone(front), Rc::clone(&self.source));
            actix_rt::spawn(async move {
                let discarded = front
                    .engines
                    .discard(source.addr, &handle, DISCARD_TIMEOUT)
                    .await;
                if let Err(e) = discarded {
                    log::debug!("{e}");
                }
            });
        }
    }
}

impl Drop for MoveTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}
