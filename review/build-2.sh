#!/bin/sh
# Builds what the scripts of review/4 and later start beside the build of the deploy file. Their stand-ins are
# Python with its standard library (review/standins-2), so there is nothing to compile but the deploy file's own.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p platform
