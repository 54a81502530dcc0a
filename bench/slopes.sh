#!/usr/bin/env bash
# Measures the cost of membership and dissemination per node, by fleet size:
# real processes on loopback, each running the peer task alone.
# Usage: slopes.sh [SIZE...]; the JSON lines go to build/slopes.jsonl.
set -euo pipefail
cd "$(dirname "$0")/.."
node=build/bench/slopes_node
port=21000
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(8 16 32 64 128)
out=build/slopes.jsonl
tmp=$(mktemp -d)
pids=()

stop_all() {
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	rm -rf "$tmp"
}
trap stop_all EXIT

# CLOCK_BOOTTIME in ms, the clock of the nodes' schedule.
boottime_ms() {
	awk '{printf "%d", $1 * 1000}' /proc/uptime
}

run_size() {
	local n=$1 start i
	start=$(($(boottime_ms) + 500))
	pids=()
	for ((i = 0; i < n; i++)); do
		"$node" -i "$i" -n "$n" -p "$port" -s "$start" \
		    >"$tmp/$n.$i" 2>>"$tmp/log" &
		pids+=($!)
	done
	for i in "${pids[@]}"; do
		wait "$i" || echo "node with pid $i ended with an error" >&2
	done
	pids=()
	cat "$tmp/$n".* >>"$out"
	# Use other ports for each size: closed ones may linger.
	port=$((port + n))
}

: >"$out"
for n in "${sizes[@]}"; do
	run_size "$n"
done
[ ! -s "$tmp/log" ] || tail -n 5 "$tmp/log" >&2
build/bench/slopes_fit <"$out"
