#!/bin/sh
# Runs every policy and placement bench; each prints a table and JSON lines.
set -eu
cd "$(dirname "$0")/.."
for program in build/bench/policy_* build/bench/placement_*; do
	[ -x "$program" ] || continue
	case $program in
	*.d | *.o) continue ;;
	esac
	echo "== $(basename "$program")"
	"$program"
done
