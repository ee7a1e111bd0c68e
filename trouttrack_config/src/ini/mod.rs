//! INI files with line numbers, read through `ini_core`.

mod document;
mod section;

pub use document::{Document, Entry, Section};
pub use section::SectionReader;
