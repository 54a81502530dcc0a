#!/usr/bin/env bash
# Names from the platform's interfaces must appear only in platform/.
set -u
cd "$(dirname "$0")/../.."
passed=0
failed=0

# Header fields, paths and keys, but not fields of the HTTP and SSE standards.
names=$(grep -hoE '"(X-[A-Za-z-]+|/lavenderdrift/[a-z-]+|op/[a-z]+|servers/)' \
    platform/*.c | tr -d '"' | sort -u)
names="$names kv-txn kv-range kv-watch route_table traffic_split api_keys
 session_affinity target_latency_ms warmup_left_ms fencing_token close_mode
 non_idempotent retention_count"

for name in $names; do
	if grep -rnF --include='*.[ch]' -e "\"$name" lib programs bench; then
		echo "$name is used outside platform/"
		failed=$((failed + 1))
	else
		passed=$((passed + 1))
	fi
done
[ "$passed" -gt 20 ] || { echo "only $passed names found"; failed=$((failed + 1)); }
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
