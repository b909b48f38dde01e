#!/usr/bin/env bash
# Builds the program that runs the scripted cases, with the project's stand-ins in it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
