//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Load and experiments.
    cmd trouttrack-load {
        /// Sends example requests and prints the answers as they come.
        cmd ask {
            /// Base URL of a gateway; several are used in turn.
            repeated --url url: String
            /// ORGANISATION=KEY.
            repeated --key key: String
            /// JSON file of examples.
            required --file file: PathBuf
        }
        /// Measures what a gateway adds to the way of a token.
        cmd path {
            /// Base URL of the gateway.
            required --gateway url: String
            /// Its process.
            required --gateway-pid pid: u32
            /// An organisation's key.
            required --key key: String
            /// Engines with a pace, NAME=URL.
            repeated --paced engine: String
            /// Engines as fast as they can be, NAME=URL.
            repeated --fast engine: String
            /// Numbers of streams at once (default 1,64,512).
            optional --streams list: String
        }
        /// Measures what claiming idempotency keys costs.
        cmd claims {
            /// Base URL of a gateway; several are used in turn.
            repeated --gateway url: String
            /// Base URL of the platform stand-in.
            required --platform url: String
            /// An organisation's key.
            required --key key: String
            /// Claims a second.
            required --rate n: f64
            /// Seconds (default 5).
            optional --seconds n: u64
        }
    }
}
