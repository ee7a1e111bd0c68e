//! The caller-facing side: connections, admission and responses.

mod admit;
mod body;
mod connection;
mod handler;
mod limit;
mod reply;
mod server;

pub(crate) use admit::Admitted;
pub(crate) use body::{Broken, CallerBody, EventSender};
pub(crate) use limit::ReadLimit;
pub(crate) use reply::Reply;
pub(crate) use server::{Server, serve_readiness_and_metrics};
