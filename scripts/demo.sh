#!/usr/bin/env bash
# Runs an end-to-end session on loopback, with a separate process per component.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

passed=0
failed=0
start_ms=$(date +%s%3N)

say() { printf '%6d ms  %s\n' $(($(date +%s%3N) - start_ms)) "$*"; }

check() { # WHAT COMMAND...
	local what=$1
	shift
	if "$@"; then
		passed=$((passed + 1))
		say "ok    $what"
	else
		failed=$((failed + 1))
		say "FAIL  $what"
	fi
}

show() { sed 's/^/             | /' | cut -c1-110; }

ask() { # NODE KEY PATH CURL-ARGS... ; answer in $body, status in $code
	local node=$1 key=$2 path=$3
	shift 3
	body=$(curl -sS -N -m 10 -w '\n%{http_code} %{time_starttransfer}' \
	    -H "Authorization: Bearer $key" "$@" "$(fleet_entry "$node")$path")
	code=$(tail -n 1 <<<"$body" | cut -d' ' -f1)
	first=$(tail -n 1 <<<"$body" | cut -d' ' -f2)
	body=$(sed '$d' <<<"$body")
	say "node $node  $path  status $code, first byte after $first s"
	head -n 4 <<<"$body" | show
}

catalogue() { # REQUESTS_PER_S_OF_SHOP
	cat <<JSON
{"entries":[
 {"owner":"shop-aalto","class":"paid","keys":["$(fleet_key_hash shop-key)"],
  "limits":{"requests_per_s":$1,"tokens_per_s":6000,"concurrent":30},
  "promised":{"concurrent":4}},
 {"owner":"quay-7","class":"late","keys":["$(fleet_key_hash quay-key)"],
  "limits":{"requests_per_s":50,"tokens_per_s":6000,"concurrent":30}}]}
JSON
}

engine() { # NUMBER REPLICA MEMBERS
	fleet_standin "engine$1" engine --address "$FLEET_HOST" \
	    --port "91$1" --fabric f1 --zone z1 --token-ms 20 --slots 16 \
	    --preload "$2:1:$3"
}

ready() { fleet_operate "$1" /ready | jq -e .ready; }
slots() { [ "$(fleet_operate "$1" /status | jq .capacity_slots)" -ge 32 ]; }
ledger() { curl -sS -m 5 "http://$FLEET_HOST:8003/ledger"; }

fleet_begin 127.77.0.1
say "starting store, live list, four engines, one booking service"
h=$FLEET_HOST
r1="$h:9101,$h:9102"
r2="$h:9103,$h:9104"
cat >"$FLEET_DIR/list.json" <<JSON
{"version":1,"instances":[
$(for p in 9101 9102 9103 9104; do
	echo "{\"address\":\"$h:$p\",\"role\":\"engine\",\"fabric\":\"f1\","
	echo "\"zone\":\"z1\",\"state\":\"live\"},"
done)
{"address":"$h:8003","role":"service","fabric":"","zone":"z1","state":"live"}]}
JSON
fleet_standin store store --address "$h" --port 8001
fleet_standin list list --address "$h" --port 8002 --file "$FLEET_DIR/list.json"
fleet_standin service service --address "$h" --port 8003 --name stock
engine 01 f1-r1 "$r1"
engine 02 f1-r1 "$r1"
engine 03 f1-r2 "$r2"
engine 04 f1-r2 "$r2"
fleet_store_put placement/f1 "$(jq -nc --arg a "$r1" --arg b "$r2" '
    {fabric:"f1",replicas:[
     {id:"f1-r1",model:"listing-13b",epoch:1,state:"serving",
      members:($a|split(","))},
     {id:"f1-r2",model:"listing-13b",epoch:1,state:"serving",
      members:($b|split(","))}]}')"
fleet_store_put catalogue "$(catalogue 40)"

say "starting three entry instances"
for i in 1 2 3; do fleet_node "$i" "z$i"; done
for i in 1 2 3; do
	check "node $i is ready" fleet_wait "node $i" ready "$i"
	fleet_wait "replicas at node $i" slots "$i"
done

prompt='{"model":"listing-13b","max_tokens":12,"prompt":"ThinkPad T480, battery 81 %, one worn key"'
ask 1 shop-key /v1/completions -d "$prompt,\"stream\":true}"
streamed=$(sed -n 's/^data: {/{/p' <<<"$body" | jq -r '.choices[0].text' | tr -d '\n')
check "listing text, streamed: 12 tokens and [DONE]" \
    test "$(grep -c '^data: ' <<<"$body")" = 13
ask 2 shop-key /v1/completions -d "$prompt}"
whole=$(jq -r '.choices[0].text' <<<"$body" | tr -d '\n')
check "listing text, whole: the same text" test -n "$whole" -a "$whole" = "$streamed"
ask 3 quay-key /v1/chat/completions -d '{"model":"listing-13b","max_tokens":8,
    "stream":true,"messages":[{"role":"user","content":"Shift plan, berth 4"}]}'
check "shift plan, streamed" grep -q 'DONE' <<<"$body"
ask 1 shop-key /services/stock/status/lot-31
check "status lookup" test "$code" = 200
ask 2 shop-key /services/stock/transfers -H 'Content-Type: application/json' \
    -d '{"lot":"lot-31","to":"shop-vaasa"}'
check "booking" test "$code" = 200 -o "$code" = 201
check "the service ran the booking once" \
    test "$(ledger | grep -o 'lot-31' | wc -l)" -ge 1
ask 3 nobodys-key /v1/completions -d "$prompt}"
check "a wrong key is refused" test "$code" = 401
ask 1 shop-key /v1/completions -d '{"model":'
check "bad JSON is refused" test "$code" = 400
ask 2 shop-key /v1/completions -d '{"model":"no-such","prompt":"x"}'
check "an unknown model is refused" test "$code" = 404

say "an operator cuts shop-aalto to nothing through node 1"
revision=$(fleet_operate 1 /status | jq .catalogue_revision)
fleet_operate 1 /catalogue -X PUT -H "If-Match: $revision" \
    -d "$(catalogue 0)" | tee "$FLEET_DIR/edit.json" | show
check "the edit is accepted" jq -e '.accepted == true' "$FLEET_DIR/edit.json"
for i in 1 2 3; do
	ask "$i" shop-key /v1/completions -d "$prompt}"
	check "node $i refuses shop-aalto now" test "$code" = 429
done
fleet_operate 2 /catalogue -X PUT -H "If-Match: $revision" \
    -d "$(catalogue 40)" | tee "$FLEET_DIR/edit.json" | show
check "a second edit of the old revision is a conflict" \
    jq -e '.status == 412' "$FLEET_DIR/edit.json"
ask 2 quay-key /v1/completions -d "$prompt}"
check "quay-7 is served as before" test "$code" = 200

say "stopping the nodes"
for i in 1 2 3; do
	check "node $i drains and exits 0" fleet_stop "node$i"
done
echo "demo: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
