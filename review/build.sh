#!/usr/bin/env bash
# Builds the program that runs the scripted cases, with its stand-ins, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -c -tags review -o review/bin/drive ./review/drive
