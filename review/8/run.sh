#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
RELAY_BINARY=$(realpath ../../target/lavenderdrift 2>/dev/null)
CASE=$(realpath ../../build/review-2/case-8 2>/dev/null)
if [ ! -x "$RELAY_BINARY" ] || [ ! -x "$CASE" ]; then
	echo "not run: build the deploy file's build and review/build-2.sh first"
	exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_TMP"' EXIT
export RELAY_BINARY CASE_TMP
timeout -k 3 110 "$CASE" record.txt
rc=$?
[ "$rc" -le 2 ] || rc=2
exit "$rc"
