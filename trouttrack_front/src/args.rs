//! Command-line arguments.

use std::path::PathBuf;

xflags::xflags! {
    /// The request path of trouttrack on the users' platform.
    cmd trouttrack-front {
        /// The INI file; its keys are in docs/SETTINGS.md.
        optional --settings file: PathBuf
        /// Check the settings and exit: 0 if they are fine, 2 if not.
        optional --check
        /// Print the version and exit.
        optional --version
    }
}
