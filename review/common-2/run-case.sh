#!/bin/sh
# run-case.sh FOLDER - starts the case in that folder, from the root of the project
set -u
name=$(basename "$1")
here=$(cd "$1" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x "build/review-2/case-$name" ] && [ -x target/lavenderdrift ] || exit 2
LOGS=$(mktemp -d) || exit 2
export LOGS
RECORD=$here/record.txt
export RECORD
"build/review-2/case-$name" &
case=$!
trap 'kill "$case" 2>/dev/null; wait "$case"; rm -rf "$LOGS"; exit 2' TERM INT
wait "$case"
code=$?
[ -n "${KEEP_LOGS:-}" ] && echo "$LOGS" || rm -rf "$LOGS"
exit $code
