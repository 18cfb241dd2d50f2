#!/bin/sh
# Builds the stand-ins that the scripts start. The deploy file builds sesamegap-node.
set -e
cd "$(dirname "$0")/.."
cargo build --locked --offline -p sesamegap-platform-standins
