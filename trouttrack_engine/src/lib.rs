//! A model of an engine that batches continuously.
//!
//! The same model runs behind the engine stand-in, in real time, and in the
//! decision bench, in virtual time. It decodes in steps, fills block memory as
//! outputs grow, preempts when the memory runs out, caches prompt prefixes
//! and honours priorities. It has no clock: [`Engine::step`] says how long the
//! step takes.
//!
//! What it follows is common to today's engines: paged memory, prefill in
//! chunks beside decoding, preemption by recomputation, the least urgent and
//! latest sequence first.

mod debug_asserts;
mod engine;
mod memory;
mod settings;
mod text;

pub use engine::{Engine, Load, Sequence, SequenceKey, StepOutput, Submit};
pub use memory::{CacheEvent, CacheEventKind};
pub use settings::EngineSettings;
pub use text::{LengthDraw, token_text};
