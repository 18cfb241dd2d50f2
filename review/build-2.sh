#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start: the project's own. The rest of a case is Python of the standard library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p sesamegap-platform-standins
