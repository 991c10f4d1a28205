#!/bin/sh
# Builds every stand-in that the scripts of cases 11 to 15 start, without a network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml \
    --target-dir target/review-3
