#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/lab review/standin/main.rs
