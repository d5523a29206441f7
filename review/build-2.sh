#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o review/bin/drive2 ./review/drive2
