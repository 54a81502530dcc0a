#!/usr/bin/env bash
# docs/API.md must list exactly the problem types that the code returns.
set -u
cd "$(dirname "$0")/../.."
passed=0
failed=0

in_code=$(cat lib/node/caller.c lib/node/completion*.c lib/node/service_call.c \
    lib/node/booking_task.c lib/entry/exchange.c 2>/dev/null | tr -s '\n\t ' ' ' |
    grep -oE '(type = |\{[0-9]+, |answer\( ?x, [0-9]+, |(completion_)?fail\( ?c, [0-9]+, |fail_unavailable\( ?c, )"[a-z-]+"' |
    grep -oE '"[a-z-]+"$' | tr -d '"' | sort -u)
in_page=$(sed -n 's/^| `\([a-z-]*\)` | [0-9]xx.*/\1/p; s/^| `\([a-z-]*\)` | [0-9]* .*/\1/p' docs/API.md |
    sort -u)

for type in $in_code; do
	if grep -qx "$type" <<<"$in_page"; then
		passed=$((passed + 1))
	else
		echo "docs/API.md has no row for $type"
		failed=$((failed + 1))
	fi
done
for type in $in_page; do
	grep -qx "$type" <<<"$in_code" && continue
	echo "docs/API.md lists $type, which no code returns"
	failed=$((failed + 1))
done
[ "$passed" -gt 15 ] || { echo "only $passed types found"; failed=$((failed + 1)); }
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
