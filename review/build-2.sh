#!/bin/sh
# Checks the stand-ins and the cases of the second review. They are plain JavaScript of Node.js, and need no build and no package.
set -e
cd "$(dirname "$0")"
for file in *-2.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
