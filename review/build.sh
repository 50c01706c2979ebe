#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript in review/ and need no build.
# This only checks that they and the deployed programs can be started.
set -eu
cd "$(dirname "$0")/.."
for file in target/gateway.cjs target/sidecar.cjs; do
  [ -f "$file" ] || { echo "missing $file: run the build of deploy/system.toml"; exit 1; }
done
for file in review/*.mjs review/*/*.mjs; do
  node --check "$file"
done
