#!/usr/bin/env bash
# Prepares what the scripts of review/6 and later start. Their stand-ins are
# plain JavaScript in review/stand, so there is nothing to compile; this checks
# that each of them can be read, and that the deployed programs are built.
set -u
cd "$(dirname "$0")/.." || exit 2
for file in review/stand/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
for program in gateway sidecar; do
  [ -f "target/$program.cjs" ] || node deploy/bundle.mjs || exit 1
done
