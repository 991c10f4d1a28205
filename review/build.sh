#!/usr/bin/env bash
# Builds the stand-ins and scenes of the review. They use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/scene review/standins/main.rs
