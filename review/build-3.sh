#!/bin/sh
# Builds what the scripts of the third review start beside the build of the deploy file.
# Run it from the root of the repository.
set -e
go build -tags review -o target/review-3/rig3 ./review/rig3
