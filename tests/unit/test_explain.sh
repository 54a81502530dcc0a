#!/usr/bin/env bash
# explain finds the cause of each kind of failed request and counts bad lines.
set -u
cd "$(dirname "$0")/../.."
program=$1/lavenderdrift
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
passed=0
failed=0

cat >"$dir/a.log" <<'EOF'
t=1000 event=start node=a zone=z1 initial=0
t=5000 event=group.silent group=m0/7 epoch=7 server=i-1 requests=2 silent_ms=456
t=5100 event=send.failed id=aa server=i-1 why=group-silent code=200 ms=996 next=give-up last_event=13
t=5100 event=request.end id=aa outcome=broken code=0 why=group-silent ms=998 sends=1 maybe_ran=1 last_server=i-1
t=9000 event=request.refused id=bb code=503 reason=too-late retry_after_ms=260 config=9 age_ms=379
not a line of the log
t=x event=broken
EOF
cat >"$dir/b.log" <<'EOF'
collector 12:00 t=900 event=server.entry server=i-1 state=ready group=m0/7 epoch=7
t=5400 event=group.change what=member-lost group=m0/7 epoch=7 model=m0 server=i-2 why="it gave no answer" age_ms=5
t=30000 event=store.lost why=timeout age_ms=2500
t=33000 event=request.refused id=cc code=503 reason=keys-outdated retry_after_ms=300 config=9 age_ms=4402
EOF

check() { # NAME PATTERN COMMAND...
	name=$1
	pattern=$2
	shift 2
	if "$@" 2>&1 | grep -qE -- "$pattern"; then
		passed=$((passed + 1))
	else
		echo "$name: no line matches $pattern"
		failed=$((failed + 1))
	fi
}

check "a lost member" 'member-lost .*server=i-2' "$program" explain aa "$dir"/*.log
check "lines of the request" '^\* .*why=group-silent' "$program" explain aa "$dir"/*.log
check "overload" '^\* .*reason=too-late' "$program" explain bb "$dir"/*.log
check "a lost store" 'store.lost why=timeout' "$program" explain cc "$dir"/*.log
check "bad lines are counted" '^2 lines could not be read' "$program" explain aa "$dir"/*.log
check "a summary" '1  broken group-silent' "$program" explain --summary "$dir"/*.log
check "an unknown id" 'no line has id=zz' "$program" explain zz "$dir"/*.log
check "a missing file" 'can.t be read' "$program" explain aa "$dir"/nothing
check "no id" 'id of a request is needed' "$program" explain
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
