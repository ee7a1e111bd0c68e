# Shared by the scripts: starting processes, waiting for them, ending them.
# shellcheck shell=bash

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
RUN=$(mktemp -d "${TMPDIR:-/tmp}/trouttrack.XXXXXX")
PIDS=()

# Ends what was started, and only that.
finish() {
    trap - EXIT INT TERM
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$RUN"
}
trap finish EXIT
trap 'exit 130' INT TERM

# start NAME PROGRAM ARGS…: runs a built program in the background.
start() {
    local name=$1 program=$2
    shift 2
    "$ROOT/target/release/$program" "$@" >"$RUN/$name.out" 2>"$RUN/$name.err" &
    PIDS+=($!)
    LAST_PID=$!
}

# wait_http URL: waits until the URL answers 200.
wait_http() {
    for _ in $(seq 200); do
        curl -sf -o /dev/null "$1" && return 0
        sleep 0.05
    done
    echo "no answer from $1" >&2
    tail -n 5 "$RUN"/*.err >&2
    return 1
}

build() {
    (cd "$ROOT" && cargo build --release --workspace --quiet)
}
