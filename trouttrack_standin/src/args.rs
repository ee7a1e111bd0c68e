//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Stand-ins for engines, plain services and the platform. Prints its URL.
    cmd trouttrack-standin {
        /// An engine that batches continuously.
        cmd engine {
            /// Where to listen, IP:port.
            required --listen listen: SocketAddr
            /// Blocks of 16 tokens.
            optional --blocks blocks: u64
            /// The most sequences decoded together.
            optional --max-batch n: usize
            /// What a step costs by itself, in microseconds.
            optional --step-us us: u64
            /// What each sequence adds to a step, in microseconds.
            optional --step-per-sequence-us us: u64
            /// What each prefilled token adds to a step, in microseconds.
            optional --per-prefill-token-us us: u64
            /// Median length where the prompt has no [tokens=N].
            optional --median-tokens tokens: f64
            /// Age of load reports.
            optional --report-lag-ms ms: u64
            /// Age of cache events.
            optional --event-lag-ms ms: u64
            /// Lose every n-th cache event.
            optional --lose-every n: u64
            /// Obey orders of old epochs too.
            optional --no-fence
            /// Time of one weight fetch.
            optional --weight-fetch-ms ms: u64
            /// Threads that serve connections.
            optional --workers n: usize
            /// Pause before the first step after being idle.
            optional --phase-us us: u64
            /// Seed of its generations.
            optional --seed seed: u64
            /// File to which runs are written as they happen.
            optional --ledger file: PathBuf
        }

        /// A plain service.
        cmd plain {
            /// Where to listen, IP:port.
            required --listen listen: SocketAddr
            /// Its name in answers.
            required --name name: String
            /// Time of one call.
            optional --delay-ms ms: u64
            /// File to which runs are written as they happen.
            optional --ledger file: PathBuf
        }

        /// The platform's object API and VM list.
        cmd platform {
            /// Where to listen, IP:port.
            required --listen listen: SocketAddr
            /// How late the VM list is.
            optional --vm-lag-ms ms: u64
        }
    }
}
