//! What is printed.

mod change;
mod table;

pub use change::{change, change_exit};
pub use table::table;
