//! The operators' query and command language.
//!
//! One grammar serves `trouttrackctl` (to point at a wrong word before
//! anything is sent, and to complete words) and the controller (to carry
//! commands out).
//!
//! ```text
//! show TABLE [where FIELD OP VALUE [and …]] [order by FIELD [desc]] [limit N]
//! watch TABLE …            the same, again and again
//! why request ID | why upstream NAME
//! create KIND NAME FIELD=VALUE …
//! set KIND NAME FIELD=VALUE …
//! delete KIND NAME
//! drain NAME | undrain NAME
//! diff VERSION [VERSION] | undo VERSION
//! ```

pub mod query;

mod command;
mod complete;
mod parser;

pub use command::{Assignment, Command, Kind, Table, Verb, Why};
pub use complete::{complete, last_word};
pub use parser::{SyntaxError, parse};
pub use query::{Condition, Direction, Op, Order, Query, Row, run};
