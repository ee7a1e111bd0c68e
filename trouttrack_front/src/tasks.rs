//! Tasks that run as long as the process.
//!
//! A panic ends only the task in which it occurs. The process would go on without it, for example
//! without following the store, so such a task is started again.

use crate::state::Front;
use std::any::Any;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_telemetry::{events, record};

/// Pause before a task that panicked is started again, so that one that panics at once neither
/// keeps the processor busy nor fills the log.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Starts a task, and starts it again each time that it panics. Panics are logged and counted.
pub(crate) fn spawn<T>(
    front: &Rc<Front>,
    name: &'static str,
    task: impl Fn(Rc<Front>) -> T + 'static,
) where
    T: Future<Output = ()> + 'static,
{
    let front = Rc::clone(front);
    actix_rt::spawn(async move {
        let on_panic = |message: &str| {
            record!(events::TASK_PANICKED, task = name, message = message);
            front.metrics.task_panics.with_label_values(&[name]).inc();
        };
        run_despite_panics(|| task(Rc::clone(&front)), on_panic).await;
    });
}

/// Runs a task until it ends by itself. After a panic, calls `on_panic` with its message and starts
/// the task again.
pub async fn run_despite_panics<T>(task: impl Fn() -> T, on_panic: impl Fn(&str))
where
    T: Future<Output = ()> + 'static,
{
    while let Err(e) = actix_rt::spawn(task()).await {
        let Ok(panic) = e.try_into_panic() else {
            // The runtime is shutting down.
            return;
        };
        on_panic(message(panic.as_ref()));
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}

fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message")
}
