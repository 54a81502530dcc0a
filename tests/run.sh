#!/usr/bin/env bash
# Runs the test programs of the given groups and sums their results.
# Usage: run.sh BUILD_DIR GROUP...
# Each program ends with a line "N passed, N failed". A program that ends
# without one, or whose exit status contradicts its counts, is one failure.
# Tests named in KNOWN-RED.txt (first word of a line, GROUP/NAME) are shown, not
# counted.
set -u
build=$1
shift
passed=0
failed=0
known=0
failed_names=""
export ASAN_OPTIONS="detect_leaks=1:abort_on_error=0"
export UBSAN_OPTIONS="print_stacktrace=1"
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
# Concurrent test programs: most spend their time waiting for timers.
AT_ONCE=6
# Programs that take a minute or more start first.
LONGEST="test_silent_crashes test_booking_once test_relay_soak test_config_changes test_memory test_kept_connections test_relay test_catalogue_fleet test_admit_fleet"

is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -q "^$1 " KNOWN-RED.txt
}

# Runs one program; its output and its counts go to files of its own.
run_one() {
	name=$1
	shift
	mkdir -p "$dir/$(dirname "$name")"
	timeout 300 "$@" >"$dir/$name.out" 2>&1
	echo "$?" >"$dir/$name.status"
}

count_one() {
	name=$1
	status=$(cat "$dir/$name.status")
	line=$(grep -E '^[0-9]+ passed, [0-9]+ failed$' "$dir/$name.out" |
	    tail -n 1)
	p=$(echo "$line" | cut -d' ' -f1)
	f=$(echo "$line" | cut -d' ' -f3)
	if [ -z "$line" ] || { [ "$status" -ne 0 ] && [ "$f" = 0 ]; }; then
		p=0
		f=1
	fi
	if [ "$f" -ne 0 ]; then
		tail -n 60 "$dir/$name.out"
		if is_known_red "$name"; then
			echo "KNOWN RED $name"
			known=$((known + f))
			f=0
		else
			failed_names="$failed_names $name"
		fi
	fi
	printf '%-32s %s passed, %s failed\n' "$name" "$p" "$f"
	passed=$((passed + p))
	failed=$((failed + f))
}

# The failed cases and checks of a program; its last lines if it names none.
print_failures() {
	echo "FAILED $1, status $(cat "$dir/$1.status")"
	lines=$(grep -E 'had failures:|^ +[0-9]+\. .* - |ERROR: |runtime error' \
	    "$dir/$1.out")
	[ -n "$lines" ] || lines=$(tail -n 4 "$dir/$1.out")
	echo "$lines" | cut -c 1-160 | head -n 6
}

# Programs share no port or file, so several run concurrently.
names=""
running=0
start() {
	run_one "$@" &
	names="$names $1"
	running=$((running + 1))
	if [ "$running" -ge "$AT_ONCE" ]; then
		wait -n
		running=$((running - 1))
	fi
}

is_longest() {
	case " $LONGEST " in
	*" $1 "*) return 0 ;;
	*) return 1 ;;
	esac
}

for group in "$@"; do
	for name in $LONGEST; do
		[ -x "$build/$group/$name" ] || continue
		start "$group/$name" "$build/$group/$name"
	done
done
for group in "$@"; do
	for program in "$build/$group"/test_*; do
		[ -x "$program" ] || continue
		is_longest "$(basename "$program")" && continue
		start "$group/$(basename "$program")" "$program"
	done
	for script in tests/"$group"/test_*.sh; do
		[ -f "$script" ] || continue
		start "$group/$(basename "$script" .sh)" bash "$script" "$build"
	done
done
wait
for name in $names; do
	count_one "$name"
done
# Once more at the end, for a log that is cut to its last lines.
for name in $failed_names; do
	print_failures "$name"
done
[ "$known" -eq 0 ] || echo "$known known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
