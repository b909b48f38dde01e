#!/usr/bin/env bash
# Builds the program that plays the scripted cases 11 to 15, with the project's stand-ins in it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-probe ./review/probe
