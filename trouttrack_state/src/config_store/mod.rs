//! A fleet's configuration in the platform's service.
//!
//! | object | content | written |
//! | --- | --- | --- |
//! | `config/parts/HASH` | a part; never changes | before the root |
//! | `config/changes/ID` | the root that a change makes; for undo | before the root |
//! | `config/root` | the root; the only commit point | by conditional update |

mod store;

pub use store::{Commit, ConfigStore, Proposal, StoreError, Stored};
