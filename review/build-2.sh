#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
cargo build --release --offline --locked
