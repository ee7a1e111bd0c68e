//! A loopback proxy whose connections are delayed, cut, silenced and reset.

mod condition;
mod proxy;
mod pump;

pub use proxy::Link;
