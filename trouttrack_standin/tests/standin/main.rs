//! The stand-ins keep to the faces that they stand in for.

mod engine;
mod platform;
mod support;
