//! Moves running generations away from an engine that leaves.

mod copy_command;
mod generation_move;
mod observe;
mod poll;
mod task;

pub(crate) use generation_move::GenerationMove;
pub(crate) use observe::observe;
pub(crate) use poll::poll_engines;
pub(crate) use task::{MoveEnd, MoveTask, Moved};
