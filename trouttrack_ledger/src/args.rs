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
        /// Prints in place of the list what nobody could have saved, and the rest by
        /// cause, priced by this sheet: an INI file with a section for each kind of
        /// request, by the objective of its routes.
        optional --sheet file: PathBuf
        /// Lists each cause by upstream too.
        optional --upstreams
    }
}
