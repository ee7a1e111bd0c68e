//! Every settings key with its unit, default and meaning.
//!
//! The reference page and the check for unknown keys both read this table.

use std::fmt::Write as _;

/// A program that reads settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// `trouttrack_gateway`
    Gateway,
    /// `trouttrack_controller`
    Controller,
    /// `trouttrack_front`
    Front,
}

impl Program {
    fn name(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Controller => "controller",
            Self::Front => "front",
        }
    }
}

/// One key.
#[derive(Clone, Copy, Debug)]
pub struct KeySpec {
    /// The section that it stands in.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// Its unit or the form of its values.
    pub unit: &'static str,
    /// The value when it is not given; empty if it must be given or is off.
    pub default: &'static str,
    /// What it does.
    pub meaning: &'static str,
    /// The programs that read it.
    pub programs: &'static [Program],
}

const BOTH: &[Program] = &[Program::Gateway, Program::Controller];
const ALL: &[Program] = &[Program::Gateway, Program::Controller, Program::Front];
const FRONT: &[Program] = &[Program::Front];
const GATEWAY: &[Program] = &[Program::Gateway];
const CONTROLLER: &[Program] = &[Program::Controller];

const fn key(
    section: &'static str,
    key: &'static str,
    unit: &'static str,
    default: &'static str,
    programs: &'static [Program],
    meaning: &'static str,
) -> KeySpec {
    KeySpec {
        section,
        key,
        unit,
        default,
        meaning,
        programs,
    }
}

#[rustfmt::skip]
const KEYS: &[KeySpec] = &[
    key("vm", "name", "name", "", ALL, "Name of this process among its peers. Must be given."),
    key("vm", "failure_domain", "name", "", ALL, "The failure domain that the VM stands in. Must be given."),
    key("log", "format", "text or json", "text", ALL, "Form of the log lines on standard error."),
    key("log", "level", "error, warn, info, debug or trace", "info", ALL, "The least severe level that is logged."),
    key("trace", "otlp_url", "URL", "", BOTH, "Where spans are sent by OTLP over HTTP; no spans are made without it."),
    key("trace", "sample", "0 to 1", "1", BOTH, "The share of requests without a `traceparent` that are traced."),
    key("platform", "url", "URL", "", ALL, "The platform's object API. Must be given."),
    key("platform", "timeout", "duration", "2s", BOTH, "How long one call to the platform may take; a watch may wait longer."),
    key("platform", "calls_per_second", "calls/s", "20", BOTH, "The most calls that this process makes to the platform, retries and watches included."),
    key("rpc", "listen", "IP:port", "127.0.0.1:0", BOTH, "Where peers reach this process."),
    key("rpc", "peers", "IP:port list", "", BOTH, "Gateways that are asked for their configuration while the platform is down, and whose requests are shown."),
    key("tls", "certificate", "file", "", BOTH, "PEM certificate chain of the public face; TLS is off without it."),
    key("tls", "key", "file", "", BOTH, "PEM private key of the certificate."),
    key("tls", "reload", "duration", "10s", BOTH, "How often both files are looked at for change; connections stay open."),
    key("caller", "listen", "IP:port", "127.0.0.1:8080", GATEWAY, "Where callers connect."),
    key("caller", "workers", "threads", "2", GATEWAY, "Threads that serve callers."),
    key("caller", "max_body", "size", "1MiB", GATEWAY, "The largest request body."),
    key("caller", "read_timeout", "duration", "10s", GATEWAY, "How long a caller may take to send its headers, and again its body."),
    key("caller", "max_connections", "connections", "8192", GATEWAY, "Open caller connections for each thread."),
    key("caller", "handle_secret", "text", "", GATEWAY, "Seals the handles by which callers come back; the same on every gateway of a fleet. Must be given."),
    key("caller", "drain", "duration", "10m", GATEWAY, "How long a planned stop waits for requests in progress."),
    key("caller", "drain_notice", "duration", "5s", GATEWAY, "How long `/readyz` says no before a planned stop closes the port."),
    key("caller", "reconnect_grace", "duration", "30s", GATEWAY, "How long a stream runs on after its caller went away; the caller may come back to any gateway."),
    key("upstream", "connect_timeout", "duration", "1s", GATEWAY, "How long a connection to an upstream may take."),
    key("upstream", "first_token", "duration", "30s", GATEWAY, "How long an engine may be silent before its first token; then it is probed."),
    key("upstream", "token_gap", "duration", "5s", GATEWAY, "How long an engine may be silent between tokens; then it is probed."),
    key("upstream", "probe", "duration", "1s", GATEWAY, "How long an upstream has to answer a probe, a cancel or a fence."),
    key("upstream", "attempts", "attempts", "3", GATEWAY, "The most hand-overs of one request."),
    key("upstream", "resumes", "attempts", "5", GATEWAY, "The most times in a row that a stream is attached to again without a new token."),
    key("upstream", "report_interval", "duration", "500ms", GATEWAY, "How often load reports are asked for."),
    key("upstream", "retry_ratio", "0 to 1", "0.1", GATEWAY, "Retries allowed for each first attempt, per service."),
    key("admission", "policy", "policy", "trouttrack", GATEWAY, "trouttrack, random, round-robin, least-outstanding or two-choices."),
    key("admission", "ageing", "duration", "5s", GATEWAY, "How much longer each priority may wait than the one above it."),
    key("admission", "max_wait", "duration", "30s", GATEWAY, "A request that has waited this long goes before all shares."),
    key("admission", "max_queued", "requests", "2000", GATEWAY, "Requests that wait; beyond it they are refused as not run."),
    key("admission", "urgent_reserve", "0 to 0.9", "0.1", GATEWAY, "Share of an engine's memory kept free for the most urgent priority."),
    key("admission", "growth_quantile", "0.3 to 0.99", "0.5", GATEWAY, "Quantile of the remaining tokens that the memory forecast uses."),
    key("admission", "look_ahead", "tokens", "512", GATEWAY, "How far ahead the memory forecast looks; larger is safer against preemption and leaves more memory idle."),
    key("admission", "tick", "duration", "5ms", GATEWAY, "How often the systems run over the tables."),
    key("admin", "listen", "IP:port", "127.0.0.1:8081", CONTROLLER, "Where operators connect."),
    key("admin", "key", "role:key list", "", CONTROLLER, "Operators' keys, each `name:role:key` with role viewer or operator. Must be given."),
    key("admin", "max_body", "size", "1MiB", CONTROLLER, "The largest request body."),
    key("admin", "in_force_timeout", "duration", "5s", CONTROLLER, "How long a change waits to be in force on every gateway before the answer names those that lag."),
    key("orders", "lease", "duration", "10s", CONTROLLER, "How long the lease to give orders is held without being renewed."),
    key("orders", "every", "duration", "5s", CONTROLLER, "How often the holder looks at what engines have loaded."),
    key("orders", "pace", "duration", "2s", CONTROLLER, "Pause between two orders; the weight store is shared."),
    key("front", "listen", "IP:port", "127.0.0.1:8080", FRONT, "Where callers connect."),
    key("front", "ready", "IP:port", "127.0.0.1:8089", FRONT, "Where the balancer asks whether this process is ready."),
    key("front", "metrics", "IP:port", "127.0.0.1:9464", FRONT, "Where metrics are served, at `/metrics`."),
    key("front", "peers", "IP:port", "127.0.0.1:7200", FRONT, "Where peers send their heartbeats, over UDP, and ask for what no datagram holds, over TCP; peers find each other through the platform's service."),
    key("front", "max_connections", "connections", "1024", FRONT, "Open connections of callers beyond which new ones are closed before anything is read, so that their callers reach other VMs."),
    key("front", "max_lag", "duration", "100ms", FRONT, "Lateness of the event loop beyond which a part of the new connections is closed the same way, while other VMs live; 0s closes none."),
    key("front", "source", "IP", "", FRONT, "Local address of connections to upstreams, for VMs with several; the system chooses it without."),
    key("bounds", "revoke", "duration", "5s", FRONT, "A removed key is refused after this. With `revoke_strict`, a configuration that could not be confirmed for this long serves no request with a key."),
    key("bounds", "revoke_strict", "true or false", "true", FRONT, "Whether that holds also on a VM that cannot reach the store. If false, such a VM serves on by the configuration that it knows, and denies nothing."),
    key("bounds", "config_apply", "duration", "2s", FRONT, "A new configuration is in force after this; it is confirmed somewhat more often."),
    key("bounds", "evacuate", "duration", "5s", FRONT, "The upstreams of an evacuated failure domain get no new work after this; a watch for evacuations is asked anew after four fifths of it."),
    key("bounds", "grace", "duration", "8s", FRONT, "Between the signal to stop and the end of the process; requests in progress end within it."),
    key("retry", "ratio", "0 to 1", "0.2", FRONT, "Attempts beyond the first that a service may get for each request, all VMs together."),
    key("retry", "extra", "attempts", "20", FRONT, "Attempts beyond the first that a service may get in a window besides, all VMs together."),
    key("retry", "window", "duration", "10s", FRONT, "The sliding window of both."),
    key("quarantine", "ends", "upstreams", "2", FRONT, "A request under which so many upstreams ended in a row is given to none, on all VMs; 0 switches this off, and the next as well."),
    key("quarantine", "part_ends", "upstreams", "4", FRONT, "Requests with a part of prompts under which so many upstreams ended as they began to answer, none after a good beginning, are given to none; 0 switches this off."),
    key("quarantine", "hold", "duration", "10m", FRONT, "How long that lasts after the last of them ended."),
    key("quarantine", "lift", "list", "", FRONT, "Requests (32 hexadecimal digits) and parts (16), as the logs name them, that are never held. Read again when the file changes."),
    key("serving", "policy", "policy", "trouttrack", FRONT, "trouttrack, random, round-robin, least-outstanding or two-choices."),
    key("serving", "tell_changes", "on or off", "on", FRONT, "Whether a change of the own use of upstreams is told at once to all VMs of the failure domain; heartbeats tell it in any case."),
    key("serving", "rescue", "on or off", "on", FRONT, "Whether running generations are moved away from a leaving upstream."),
    key("serving", "ask_engines", "on or off", "on", FRONT, "Whether engines with running generations are asked if they leave while the store is silent."),
    key("serving", "backup_below", "0 to 1", "0", FRONT, "Below this share of an engine's memory in use, it also keeps copies of generations that run elsewhere; 0 keeps none."),
    key("serving", "max_queued", "requests", "500", FRONT, "Requests that wait; beyond it they are refused as not run."),
    key("serving", "wait_for_place", "0 to 10", "0.6", FRONT, "How long a request may wait for an upstream, in parts of its objective; then it is refused as not run."),
    key("buffers", "request", "size", "128KiB", FRONT, "The most bytes of a stream that are kept for a caller that reads slowly; beyond it nothing is read from the upstream. At least 16 KiB."),
    key("buffers", "organisation", "size", "12MiB", FRONT, "The most bytes of requests and responses that are kept for one organisation; beyond it those of its callers are disconnected that have accepted no bytes for the longest time, at least a second. No less than `request`."),
    key("buffers", "vm", "size", "24MiB", FRONT, "The same for the whole VM; callers of the organisation that holds the most are disconnected. About a quarter of the VM's memory; the default suits 88 MB. No less than `organisation`."),
    key("admission", "keep_room", "on or off", "off", FRONT, "Whether requests whose objective leaves time wait here and leave engine memory free for more urgent ones, as much as the arrivals of the last seconds need."),
    key("admission", "order_by_due", "on or off", "off", FRONT, "Whether of an organisation's waiting requests of a class the one that is due first goes first."),
    key("admission", "claim_for_large", "on or off", "off", FRONT, "Whether a large request that has waited for half of its time gets the next room of an engine before smaller ones."),
    key("admission", "refuse_hopeless", "on or off", "off", FRONT, "Whether requests that cannot be placed in time, at the rate at which engines free memory, are refused at once."),
    key("placement", "running", "0 to 100", "1", FRONT, "What the requests at an upstream count in its score, over the most that may run there. The upstream with the lowest score is chosen; 0 switches a part off."),
    key("placement", "fill", "0 to 100", "1", FRONT, "What an engine's forecast memory counts, over its capacity."),
    key("placement", "remote", "0 to 100", "0.4", FRONT, "What another failure domain counts."),
    key("placement", "backlog", "0 to 100", "3", FRONT, "What a second of prompts that are still to be loaded counts."),
    key("placement", "cold", "0 to 100", "0.5", FRONT, "What an upstream counts that has just started; less as it warms up."),
    key("placement", "slowdown", "0 to 100", "1", FRONT, "How far running requests and prompts count by the time that a slow or fast upstream takes for them; 1 counts them in proportion."),
    key("placement", "late", "0 to 100", "4", FRONT, "What the risk of a late first token, or of an end after the caller gives up, counts beyond that at a typical upstream."),
    key("placement", "pause", "0 to 100", "4", FRONT, "What the risk of a pause above the route's longest counts beyond that at a typical upstream."),
    key("placement", "hold", "0 to 100", "0.3", FRONT, "What an engine's whole memory held for a second counts beyond that at a typical upstream."),
    key("placement", "harm", "0 to 100", "4", FRONT, "What the risk counts that a prompt's load brings a pause above the route's longest upon a long generation that runs there, for each of them, beyond that at a typical upstream."),
    key("placement", "speed", "0 to 100", "1", FRONT, "What a fast engine counts for a short request, so that long ones find it free."),
];

/// The keys that a program reads, in the order of the reference page.
///
/// # Examples
///
/// ```
/// use trouttrack_config::settings::{keys_of, Program};
/// assert!(keys_of(Program::Gateway).any(|k| k.key == "attempts"));
/// assert!(!keys_of(Program::Controller).any(|k| k.key == "attempts"));
/// ```
pub fn keys_of(program: Program) -> impl Iterator<Item = &'static KeySpec> {
    KEYS.iter().filter(move |k| k.programs.contains(&program))
}

/// The reference page, in Markdown.
#[must_use]
pub fn reference() -> String {
    let mut out = String::from(
        "# Settings\n\nWritten from the key table of `trouttrack_config`; a test keeps it true.\n\
         Each program reads one INI file (`--settings FILE`) and refuses keys that it does not know.\n",
    );
    let mut section = "";
    for k in KEYS {
        if k.section != section {
            section = k.section;
            let _ = write!(
                out,
                "\n## `[{section}]`\n\n| key | unit | default | read by | meaning |\n| --- | --- | --- | --- | --- |\n"
            );
        }
        let default = match k.default {
            "" => "none".to_owned(),
            d => format!("`{d}`"),
        };
        let read_by: Vec<&str> = k.programs.iter().map(|p| p.name()).collect();
        let read_by = read_by.join(", ");
        let _ = writeln!(
            out,
            "| `{}` | {} | {default} | {read_by} | {} |",
            k.key, k.unit, k.meaning
        );
    }
    out
}
