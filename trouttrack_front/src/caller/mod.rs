//! The callers' side: connections, admission, answers.

mod admit;
mod body;
mod handler;
mod reply;
mod server;

pub use admit::Admitted;
pub use body::{Broken, CallerBody, EventSender};
pub use handler::handle;
pub use reply::Reply;
pub use server::{Server, serve_readiness_and_metrics};
