#!/bin/sh
# The stand-ins of the scripts are plain JavaScript of this folder and need no build; this checks that they parse.
cd "$(dirname "$0")" || exit 1
for file in *.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
