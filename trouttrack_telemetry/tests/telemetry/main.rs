//! Events and keys.

mod events;
mod tls;
