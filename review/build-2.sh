#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review2/ ./review/rig2
