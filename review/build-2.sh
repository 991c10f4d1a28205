#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, without a network.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --offline --manifest-path review/standins-2/Cargo.toml
