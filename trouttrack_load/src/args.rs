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
        /// Sends mixed requests under faults and checks the stand-ins' books.
        cmd faults {
            /// Base URL of a gateway.
            repeated --gateway url: String
            /// Base URL of an engine stand-in.
            repeated --engine url: String
            /// Base URL of a plain stand-in.
            repeated --plain url: String
            /// Base URL of the platform stand-in.
            required --platform url: String
            /// An organisation's key.
            required --key key: String
            /// A stand-in's books.
            repeated --ledger file: PathBuf
            /// Requests in all.
            required --requests n: usize
            /// Requests a second.
            required --rate n: f64
            /// Seed of requests and disturbances.
            required --seed n: u64
        }
        /// Compares routing policies against an engine model in virtual time.
        cmd compare {
            /// umurage or ferry.
            required --fleet fleet: String
            /// Load over the engines' capacity (default 0.9).
            optional --load x: f64
            /// Seeds, separated by commas (default 11,12,13,14,15).
            optional --seeds list: String
            /// Policies, separated by commas (default all).
            optional --policies list: String
            /// Seconds of arrivals (default 300).
            optional --seconds n: u64
            /// Gateways (default 3).
            optional --gateways n: usize
            /// Engines (default 4).
            optional --engines n: usize
            /// Age of load reports (default 500).
            optional --report-lag-ms ms: u64
            /// Lose an engine in mid run.
            optional --lose-engine
            /// From mid run on outputs are this many times as long.
            optional --longer x: f64
            /// The first organisation sends this many times its share.
            optional --flood x: f64
            /// Quantile of the memory forecast.
            optional --growth-quantile q: f64
            /// Tokens that the memory forecast looks ahead.
            optional --look-ahead n: u64
            /// Share of memory kept for the most urgent.
            optional --urgent-reserve x: f64
            /// Weights of the score: running,fill,backlog.
            optional --weights list: String
            /// Write every run's figures here.
            optional --json file: PathBuf
            /// Write a page with plots here.
            optional --report file: PathBuf
        }
        /// Plays how long it takes until all VMs know what is new, at 7 to 2,000 VMs.
        cmd spread {
            /// Seed (default 1).
            optional --seed n: u64
            /// Write a page with plots here.
            optional --report file: PathBuf
        }
        /// Measures what control costs.
        cmd control {
            /// Base URL of the administration API.
            required --admin url: String
            /// An operator's key.
            required --key key: String
            /// Base URL of the platform stand-in.
            required --platform url: String
            /// A gateway's process.
            repeated --pid pid: u32
            /// Changes, one after the other (default 30).
            optional --changes n: usize
            /// Seconds of the idle measurement (default 10).
            optional --idle n: u64
            /// What the line begins with.
            required --label text: String
        }
    }
}
