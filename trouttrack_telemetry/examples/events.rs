//! Prints the catalogue of events: `docs/EVENTS.md`.

fn main() {
    print!("{}", trouttrack_telemetry::events::reference());
}
