#!/bin/sh
# Builds the stand-ins and scenarios of the review. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/rig/Cargo.toml --target-dir target/review
