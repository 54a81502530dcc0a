#!/bin/sh
# Runs the test programs of the given groups and adds up their results.
# Usage: run.sh BUILD_DIR GROUP...
# Each program ends with a line "N passed, N failed". A program that ends
# without one, or with another status than its counts say, is one failure.
# Tests named in KNOWN-RED.txt (first word of a line) are shown, not counted.
set -u
build=$1
shift
passed=0
failed=0
known=0
export ASAN_OPTIONS="detect_leaks=1:abort_on_error=0"
export UBSAN_OPTIONS="print_stacktrace=1"
out=$(mktemp)
trap 'rm -f "$out"' EXIT

is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -q "^$1 " KNOWN-RED.txt
}

run_one() {
	name=$1
	shift
	timeout 300 "$@" >"$out" 2>&1
	status=$?
	line=$(grep -E '^[0-9]+ passed, [0-9]+ failed$' "$out" | tail -n 1)
	p=$(echo "$line" | cut -d' ' -f1)
	f=$(echo "$line" | cut -d' ' -f3)
	if [ -z "$line" ] || { [ "$status" -ne 0 ] && [ "$f" = 0 ]; }; then
		p=0
		f=1
	fi
	if [ "$f" -ne 0 ]; then
		tail -n 60 "$out"
		if is_known_red "$name"; then
			echo "KNOWN RED $name"
			known=$((known + f))
			f=0
		fi
	fi
	printf '%-32s %s passed, %s failed\n' "$name" "$p" "$f"
	passed=$((passed + p))
	failed=$((failed + f))
}

for group in "$@"; do
	for program in "$build/$group"/test_*; do
		[ -x "$program" ] || continue
		run_one "$(basename "$program")" "$program"
	done
	for script in tests/"$group"/test_*.sh; do
		[ -f "$script" ] || continue
		run_one "$(basename "$script" .sh)" bash "$script" "$build"
	done
done
[ "$known" -eq 0 ] || echo "$known known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
