#!/usr/bin/env bash
# docs/LOGS.md must list exactly the log events and fields that the code has.
set -u
cd "$(dirname "$0")/../.."
passed=0
failed=0

# One line per event with the fields of all its calls: "name f1 f2".
in_code=$(cat lib/*/*.c | tr '\n\t' '  ' | sed -E 's/([^\\])" +"/\1/g' |
    grep -oE 'ld_event\( *"[a-z._]+", *"([^"\\]|\\.)*"' |
    sed -E 's/^ld_event\( *"([a-z._]+)", *"/\1 /; s/\\"//g; s/"$//' |
    awk '{ for (i = 2; i <= NF; i++) if (split($i, a, "=") > 1)
		if (!(($1, a[1]) in seen)) { seen[$1, a[1]] = 1
			fields[$1] = fields[$1] " " a[1] } }
	END { for (e in fields) print e fields[e] }')
in_code="$in_code
log.dropped lines"
in_page=$(sed -nE 's/^\| `([a-z._]+)` \| ([a-z_ ]+) \|.*/\1 \2/p' docs/LOGS.md)

sorted() {
	awk '{ n = split($0, f, " "); s = f[1]
	    for (i = 2; i <= n; i++) for (j = i + 1; j <= n; j++)
		if (f[j] < f[i]) { t = f[i]; f[i] = f[j]; f[j] = t }
	    for (i = 2; i <= n; i++) s = s " " f[i]; print s }' | sort
}

while read -r line; do
	if grep -qxF "$line" <<<"$(sorted <<<"$in_page")"; then
		passed=$((passed + 1))
	else
		echo "docs/LOGS.md differs from the code: $line"
		failed=$((failed + 1))
	fi
done <<<"$(sorted <<<"$in_code")"
rows=$(wc -l <<<"$in_page")
[ "$rows" -eq "$((passed + failed))" ] || {
	echo "docs/LOGS.md has $rows rows, the code $((passed + failed)) events"
	failed=$((failed + 1))
}
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
