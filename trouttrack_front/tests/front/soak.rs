//! A short soak test: real processes under randomly generated faults.

use std::path::PathBuf;
use std::time::Duration;
use trouttrack_soak::{Size, SoakOptions, run};

/// Seeds that once violated a guarantee, one per line with the cause, and a few others.
const SEEDS: &str = include_str!("soak_seeds.txt");

fn seeds() -> impl Iterator<Item = u64> {
    let lines = SEEDS.lines().filter(|line| !line.starts_with('#'));
    lines.filter_map(|line| line.split_whitespace().next()?.parse().ok())
}

/// Guarantees on times are not checked because the machine may be busy.
#[actix_rt::test]
async fn random_faults_violate_no_guarantee() {
    for seed in seeds() {
        let options = SoakOptions {
            program: PathBuf::from(env!("CARGO_BIN_EXE_trouttrack_front")),
            dir: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
            seed,
            size: Size {
                lasts: Duration::from_secs(12),
                ..Size::default()
            },
            timed: false,
        };
        let outcome = run(&options).await.expect("a run");
        assert!(outcome.findings.is_empty(), "{outcome:#?}");
        assert!(outcome.served > 0, "{outcome:#?}");
    }
}
