#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -A warnings -o target/review/rig review/standin/rig.rs
