#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, which plays the platform, the operator, the
# workers and the clients. The daemons come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/harness ./review/harness
