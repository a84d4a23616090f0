#!/usr/bin/env bash
# Builds the stand-ins of the review. Needs the compiler only, no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-standin review/standin/main.rs
