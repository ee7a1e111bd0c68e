#!/bin/sh
# Builds the stand-ins and scenarios of the second review. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/rig-2/Cargo.toml --target-dir target/review
