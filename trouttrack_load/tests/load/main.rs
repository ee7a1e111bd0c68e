//! The tool's own judgements.

mod faults;
mod patterns;
mod shed;
mod spread;
mod suspects;
