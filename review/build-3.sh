#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases 11 to 15, with the compiler alone: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/rig review/rig-3/main.rs
