#!/usr/bin/env bash
# Added latency and throughput of one instance: the same load sent directly
# to the engine stand-ins and through one node, one after the other in one run.
# Prints a JSON line per run, a table, and the comparison with the targets.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

HEADS=4        # replicas, each one instance
STREAMS=3200   # at 53 ms a token: 60,377 tokens/s offered
KEY=bench-key
# 20 times one node's share of 3,700 requests/s and 1.1 M tokens/s over 390.
AIM_REQUESTS=190
AIM_TOKENS=56410
AIM_ADDED_US=1000

fleet_begin 127.77.1.1
h=$FLEET_HOST

start() {
	local i replicas= instances=
	fleet_standin store store --address "$h" --port 8001 || exit 1
	for ((i = 1; i <= HEADS; i++)); do
		fleet_standin "engine$i" engine --address "$h" --port "910$i" \
		    --token-ms 53 --slots 20000 \
		    --preload "f1-r$i:1:$h:910$i" || exit 1
		replicas+=",{\"id\":\"f1-r$i\",\"model\":\"llama-70b\",\"epoch\":1,
		    \"state\":\"serving\",\"members\":[\"$h:910$i\"]}"
		instances+=",{\"address\":\"$h:910$i\",\"role\":\"engine\",
		    \"fabric\":\"f1\",\"zone\":\"z1\",\"state\":\"live\"}"
	done
	echo "{\"version\":1,\"instances\":[${instances#,}]}" \
	    >"$FLEET_DIR/list.json"
	fleet_standin list list --address "$h" --port 8002 \
	    --file "$FLEET_DIR/list.json" || exit 1
	fleet_store_put placement/f1 \
	    "{\"fabric\":\"f1\",\"replicas\":[${replicas#,}]}"
	fleet_store_put catalogue "{\"entries\":[{\"owner\":\"bench\",
	    \"class\":\"paid\",\"keys\":[\"$(fleet_key_hash $KEY)\"],
	    \"limits\":{\"requests_per_s\":1000000,\"tokens_per_s\":100000000,
	    \"concurrent\":100000}}]}"
	fleet_node 1 z1
}

ready() { fleet_operate 1 /ready | jq -e .ready; }
slots() { [ "$(fleet_operate 1 /status | jq .capacity_slots)" -ge $((HEADS * 20000)) ]; }

pace() { # MS per token on every engine
	local i
	for ((i = 1; i <= HEADS; i++)); do
		curl -sS -m 5 "http://$h:910$i/fault" -d \
		    "{\"mode\":\"slow\",\"ms\":$1}" >/dev/null
	done
}

run() { # NAME ARGS... ; direct, then through the node
	local name=$1 i heads=()
	shift
	for ((i = 1; i <= HEADS; i++)); do heads+=(--to "$h:910$i"); done
	"$FLEET_BUILD/bench/path_load" --name "$name-direct" --key $KEY \
	    "${heads[@]}" "$@" | tee -a "$FLEET_DIR/results"
	"$FLEET_BUILD/bench/path_load" --name "$name-through" --key $KEY \
	    --to "$h:8180" "$@" | tee -a "$FLEET_DIR/results"
}

cpu_ms() { # user and system time of the node so far, ms
	local tick
	tick=$(getconf CLK_TCK)
	awk -v t="$tick" '{print int(($14 + $15) * 1000 / t)}' \
	    "/proc/$FLEET_PID_node1/stat"
}

get() { # NAME FILTER
	jq -r --arg n "$1" "select(.name == \$n) | $2" "$FLEET_DIR/results"
}

table() {
	local n
	printf '%-12s %12s %12s %7s %12s %12s %7s %9s %9s %7s\n' run \
	    req/s-dir req/s-thr ratio tok/s-dir tok/s-thr ratio p50-us-dir \
	    p50-us-thr errors
	for n in "$@"; do
		jq -rs --arg n "$n" '
		    (map(select(.name == $n + "-direct"))[0]) as $d |
		    (map(select(.name == $n + "-through"))[0]) as $t |
		    def r(a; b): if b > 0 then a / b * 100 | round / 100
			else "-" end;
		    [$n, $d.requests_per_s, $t.requests_per_s,
		    r($t.requests_per_s; $d.requests_per_s),
		    $d.tokens_per_s, $t.tokens_per_s,
		    r($t.tokens_per_s; $d.tokens_per_s),
		    $d.first_byte_us.p50, $t.first_byte_us.p50,
		    $d.errors + $t.errors] | map(tostring) | join(" ")' \
		    "$FLEET_DIR/results" | while read -r a b c d e f g i j k; do
			printf '%-12s %12s %12s %7s %12s %12s %7s %9s %9s %7s\n' \
			    "$a" "$b" "$c" "$d" "$e" "$f" "$g" "$i" "$j" "$k"
		done
	done
}

aim() { # WHAT MEASURED RELATION BOUND
	local verdict=missed
	awk "BEGIN{exit !($2 $3 $4)}" && verdict=met
	echo "{\"aim\":\"$1\",\"measured\":$2,\"bound\":\"$3 $4\",\"verdict\":\"$verdict\"}"
}

start
fleet_wait "the node" ready || exit 1
fleet_wait "the replicas" slots || exit 1

run latency --streams 4 --tokens 3 --warmup-ms 500 --measure-ms 2500
pace 0
run requests --whole --tokens 1 --streams 64 --threads 2 --warmup-ms 500 \
    --measure-ms 2500
pace 53
run half --streams $((STREAMS / 2)) --tokens 50 --threads 2 \
    --warmup-ms 2650 --measure-ms 2650
before=$(cpu_ms)
run streams --streams $STREAMS --tokens 100 --threads 2 --warmup-ms 5300 \
    --measure-ms 3500
busy=$(($(cpu_ms) - before))
pace 2
run capacity --streams 600 --tokens 400 --threads 2 --warmup-ms 1000 \
    --measure-ms 2500
table latency requests half streams capacity
echo "{\"node_cpu_ms_in_streams\":$busy,\"window_ms\":8800}"
added=$(($(get latency-through .first_byte_us.p50) - $(get latency-direct .first_byte_us.p50)))
aim "added to the first byte at the median, us" "$added" "<" $AIM_ADDED_US
aim "tokens/s through one instance" "$(get streams-through .tokens_per_s)" \
    ">=" $AIM_TOKENS
aim "requests/s through one instance, with those tokens" \
    "$(get streams-through .requests_per_s)" ">=" $AIM_REQUESTS
