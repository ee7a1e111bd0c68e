//! A front as a process that is started again whenever it ends.

mod ports;
mod process;
mod settings;
mod supervisor;

pub use supervisor::{EndedBy, ended_readers};
pub(crate) use supervisor::{GRACE, Vm};
