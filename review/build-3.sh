#!/usr/bin/env bash
# Checks the stand-ins that the scripts of cases 11 to 15 start. They are plain
# JavaScript for Node.js without dependencies, so there is nothing to compile,
# and no stand-in of the project is started.
set -euo pipefail
cd "$(dirname "$0")"
for file in kit-3/*.mjs 1[1-5]/*.mjs; do
  node --check "$file"
done
