#!/usr/bin/env bash
# Builds what the scripts of the review start besides the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/ ./review/rig
