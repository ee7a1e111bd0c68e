//! Prints the reference page of the settings: `docs/SETTINGS.md`.

fn main() {
    print!("{}", trouttrack_config::settings::reference());
}
