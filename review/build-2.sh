#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the programs of the deploy file: one program with the stand-ins for
# the platform's store, the servers and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/stand2
