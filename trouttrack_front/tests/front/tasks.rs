//! Tasks that run as long as the process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use trouttrack_front::tasks::run_despite_panics;

/// Guards against a panic that silently ends the task in which it occurs, while the process goes
/// on without it.
#[actix_rt::test]
async fn a_task_that_panics_is_started_again() {
    let starts = Rc::new(Cell::new(0));
    let panics = RefCell::new(Vec::new());
    let task = || {
        let starts = Rc::clone(&starts);
        async move {
            starts.set(starts.get() + 1);
            match starts.get() {
                1 => panic!("at first"),
                2 => panic!("at start {}", 2),
                _ => {}
            }
        }
    };
    run_despite_panics(task, |message| panics.borrow_mut().push(message.to_owned())).await;
    assert_eq!(starts.get(), 3);
    assert_eq!(*panics.borrow(), ["at first", "at start 2"]);
}
