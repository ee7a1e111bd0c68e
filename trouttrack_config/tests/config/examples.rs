//! The example fleets and settings are fine.

use std::path::{Path, PathBuf};
use trouttrack_config::fleet::read_file;
use trouttrack_config::settings::{ControllerSettings, GatewaySettings, load};

fn example(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(path)
}

#[test]
fn both_fleets_are_fine() {
    for fleet in ["umurage/fleet.ini", "ferry/fleet.ini"] {
        let fleet = read_file(&example(fleet)).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(fleet.organisations.len(), 10);
        assert!(fleet.services.iter().any(|s| !s.repeatable));
    }
}

#[test]
fn both_settings_are_fine() {
    load::<GatewaySettings>(&example("settings/gateway.ini")).unwrap_or_else(|e| panic!("{e}"));
    load::<ControllerSettings>(&example("settings/controller.ini"))
        .unwrap_or_else(|e| panic!("{e}"));
}
