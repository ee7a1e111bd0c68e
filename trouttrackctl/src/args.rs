//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// The operators' query and command language. Without words it reads
    /// commands from the terminal.
    ///
    /// Words are a command such as `show upstreams where running > 3`, or one
    /// of `apply FILE`, `export`, `check FILE` and `change ID BASE`.
    ///
    /// The key comes from TROUTTRACK_KEY or --key-file. Exit codes: 0 done,
    /// 1 refused, 2 wrong usage, 3 no answer and nothing changed,
    /// 4 committed but not yet in force everywhere, 5 not settled yet.
    cmd trouttrackctl {
        /// The words of one command.
        repeated words: String
        /// URL of the administration API (default http://127.0.0.1:8081).
        optional --url url: String
        /// File that holds the operator's key.
        optional --key-file file: PathBuf
        /// PEM certificates trusted for https.
        optional --ca file: PathBuf
        /// Print the API's JSON.
        optional --json
        /// Make changes only if the configuration still has this version.
        optional --base version: u64
        /// How often `watch` looks (for ever if not given).
        optional --times n: u32
        /// Print the version and exit.
        optional --version
    }
}
