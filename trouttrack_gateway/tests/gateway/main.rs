//! The gateway against the stand-ins, in one process.

mod bad_input;
mod claims;
mod engine_frames;
mod faults;
mod leaving;
mod property;
mod resume;
mod stop;
mod support;
mod tls;
mod trace;
