#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs no network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml \
    --target-dir target/review
