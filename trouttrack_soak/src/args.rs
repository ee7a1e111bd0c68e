//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Randomized faults against real front processes, with the promises checked.
    cmd trouttrack-soak {
        /// The first seed (default 1).
        optional --seed seed: u64
        /// How many seeds, one after the other (default 1).
        optional --count count: u64
        /// The front's program (default: beside this one).
        optional --front program: PathBuf
        /// Where settings and logs are kept (default target/soak).
        optional --dir dir: PathBuf
        /// A named size: 7-in-4, 6-in-4 or 6-in-3 (VMs in failure domains).
        optional --size size: String
        /// Fronts (default 3).
        optional --vms vms: usize
        /// Plain upstreams, and as many engines (default 3).
        optional --upstreams upstreams: usize
        /// Callers (default 12).
        optional --callers callers: usize
        /// Seconds a seed takes (default 15).
        optional --seconds seconds: u64
        /// Leave out the promises about times: for a machine that is busy.
        optional --untimed
    }
}
