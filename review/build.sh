#!/bin/sh
# Builds the stand-ins of the cases.
set -e
cd "$(dirname "$0")/stand"
exec cargo build --release --locked --offline
