#!/usr/bin/env bash
# Regenerates the committed protobuf code from packages/wire/proto.
set -euo pipefail
cd "$(dirname "$0")/../packages/wire"
protoc -I proto --cpp_out=generated proto/wire/*.proto
