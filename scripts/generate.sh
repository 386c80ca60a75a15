#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code from packages/wire/proto.
set -euo pipefail
cd "$(dirname "$0")/../packages/wire"
protoc -I proto --cpp_out=generated \
  --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
  proto/wire/*.proto
# Files without a service have no gRPC code.
rm -f generated/wire/{types,peer,gossip}.grpc.pb.{h,cc}
