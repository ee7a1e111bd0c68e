//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Lists which requests were lost, late or refused, from the fronts' logs.
    cmd trouttrack-ledger {
        /// Logs of the fronts; standard input if none is given.
        repeated file: PathBuf
        /// Draws the lost, late and refused requests over time, as SVG.
        optional --svg file: PathBuf
        /// Width of the chart's bars in seconds (default 2).
        optional --bar seconds: f64
        /// Lists each cause by upstream too.
        optional --upstreams
    }
}
