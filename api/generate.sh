#!/usr/bin/env bash
# Regenerates the protobuf code. Needs protoc; the Go plugin comes from go.mod.
set -euo pipefail
cd "$(dirname "$0")"
plugin=$(go tool -n protoc-gen-go)
protoc --plugin=protoc-gen-go="$plugin" --go_out=. --go_opt=paths=source_relative *.proto
# The header names the installed protoc, which differs between machines.
sed -i '/^\/\/ \tprotoc /d' *.pb.go
