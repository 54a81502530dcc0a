# Starts a small fleet on loopback: stand-ins and nodes, each a process.
# Sourced by scripts/demo.sh and bench/*.sh. Needs: bash, curl, jq.
#
# fleet_begin HOST     creates a work folder; HOST is a dedicated 127/8 address
# fleet_standin NAME ARGS...
# fleet_node I ZONE    node I on ports 8i80 (callers), 8i81, 8i82
# fleet_end            kills the started processes by process id

FLEET_BUILD=${FLEET_BUILD:-build}
FLEET_TOKEN=operator-token-of-the-demo
FLEET_PIDS=()

fleet_begin() {
	FLEET_HOST=$1
	FLEET_DIR=$(mktemp -d)
	trap fleet_end EXIT
}

fleet_spawn() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.err" &
	FLEET_PIDS+=($!)
	eval "FLEET_PID_${name//-/_}=$!"
}

fleet_standin() { # NAME ARGS...
	local name=$1
	shift
	fleet_spawn "$name" "$FLEET_BUILD/ld_standin" "$@"
	fleet_wait "$name" grep -q ready "$FLEET_DIR/$name.out"
}

# Polls a condition, with at least 10 s of pauses; fails when it never holds.
fleet_wait() { # WHAT COMMAND...
	local what=$1 i
	shift
	for ((i = 0; i < 400; i++)); do
		if "$@" >/dev/null 2>&1; then
			return 0
		fi
		sleep 0.025
	done
	echo "fleet: gave up waiting for $what" >&2
	tail -n 5 "$FLEET_DIR"/*.err >&2
	return 1
}

fleet_entry() { echo "http://$FLEET_HOST:8${1}80"; }
fleet_operator() { echo "http://$FLEET_HOST:8${1}81"; }

fleet_settings() { # I ZONE
	cat <<JSON
{"node":{"failure_domain":"$2"},
 "entry":{"listen":"$FLEET_HOST:8${1}80","drain_notice_ms":300},
 "operator":{"listen":"$FLEET_HOST:8${1}81","token":"$FLEET_TOKEN"},
 "peers":{"listen":"$FLEET_HOST:8${1}82","key":"peer-key-of-the-demo",
  "seeds":["$FLEET_HOST:8182","$FLEET_HOST:8282","$FLEET_HOST:8382"]},
 "store":{"endpoints":["$FLEET_HOST:8001"]},
 "live_list":{"address":"$FLEET_HOST:8002"},
 "control":${FLEET_CONTROL:-{\"enabled\":false\}},
 "deployment":{"fabrics":["f1"],"models":${FLEET_MODELS:-[]}},
 "services":[{"name":"stock","servers":["$FLEET_HOST:8003"],
  "not_idempotent":[{"method":"POST","path":"/transfers"}]}]}
JSON
}

fleet_node() { # I ZONE
	fleet_settings "$1" "$2" >"$FLEET_DIR/node$1.json"
	fleet_spawn "node$1" "$FLEET_BUILD/lavenderdrift" serve \
	    -c "$FLEET_DIR/node$1.json"
}

fleet_operate() { # I CURL-ARGS...
	local i=$1 path=$2
	shift 2
	curl -sS -m 10 -H "Authorization: Bearer $FLEET_TOKEN" "$@" \
	    "$(fleet_operator "$i")$path"
}

fleet_store_put() { # KEY VALUE
	local key value
	key=$(printf '/lavenderdrift/%s' "$1" | base64 -w0)
	value=$(printf '%s' "$2" | base64 -w0)
	curl -sS -m 5 "http://$FLEET_HOST:8001/v3/kv/txn" -d "{\"success\":[{
	    \"requestPut\":{\"key\":\"$key\",\"value\":\"$value\"}}]}" >/dev/null
}

fleet_key_hash() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# Sends SIGTERM, which starts the drain, and waits for the node to exit.
fleet_stop() { # NAME
	local name=FLEET_PID_$1 pid
	pid=${!name}
	kill -TERM "$pid"
	wait "$pid"
}

fleet_end() {
	local pid
	for pid in "${FLEET_PIDS[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null
	rm -rf "$FLEET_DIR"
}
