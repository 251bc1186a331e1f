#!/usr/bin/env bash
# Guards against a command `peridotgauge explain` that cannot be used from a shell, a key in its output
# or in a log line, and wrong exit statuses. A controller and a router serve routes; no target runs,
# since nothing is sent.
source "$(dirname "$0")/cluster.sh"
cluster_init "$1"

KEY=key-that-nobody-may-see
CONTROLLER=$NETWORK.1
ROUTER=$NETWORK.2

start_routes() { # start_routes ROLE IP [JQ]
  jq -n --arg role "$1" --arg ip "$2" --arg seed "$CONTROLLER:18401" --arg dir "$DIR" \
    "{id: \$ip, data_centre: \"z-a\", interface: \"routes\", roles: [\$role],
      http_address: (\$ip + \":18401\"), metrics_address: (\$ip + \":18404\"),
      peer_address: (\$ip + \":18405\"), heartbeat_ms: 60000, seeds: [\$seed]} ${3:-}" >"$DIR/$1.json"
  "$BUILD/peridotgauged" --settings="$DIR/$1.json" >>"$DIR/logs/$1.log" 2>&1 &
  PIDS[$1]=$!
}

explain() { # explain ARGUMENT...: keeps all output
  "$CLI" explain --addresses="$ROUTER:18404" "$@" >"$DIR/out" 2>&1
  local status=$?
  cat "$DIR/out" >>"$DIR/all_output"
  return "$status"
}
exits_with() { # exits_with STATUS ARGUMENT...
  local expected=$1
  shift
  explain "$@"
  [ $? = "$expected" ]
}
not() { ! "$@"; }
says() { grep -qF -- "$1" "$DIR/out"; }
put() { # put PATH JSON: until it is accepted
  curl -s -m 3 -o /dev/null -w '%{http_code}' -X PUT -d "$2" "http://$CONTROLLER:18401$1" | grep -q 200
}
revision_is() { explain GET test.example /p/x --json && jq -e ".revision == $1" "$DIR/out"; }
target_is_known() {
  explain GET test.example /p/x --workspace=w1 --json &&
    jq -e '.services[0].first_choice == "i-1"' "$DIR/out"
}

start_routes controller "$CONTROLLER" "+ {data_folder: (\$dir + \"/data/controller\")}"
start_routes router "$ROUTER"
echo "$KEY" >"$DIR/key"
echo "$KEY-not" >"$DIR/unknown_key"
: >"$DIR/empty_key"

check "without a configuration the router answers" wait_until 15 revision_is 0
check "and says so" explain GET test.example /p/x
check "with the status of a refusal" says "refuse with 503: no configuration is known yet"

CONFIG="{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"test.example\",\"pathPrefix\":\"/p/\",
  \"kind\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"s\",
  \"maxAttempts\":2}],\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConns\":40}],
  \"tenants\":[{\"name\":\"w1\",\"apiKeys\":[\"$KEY\"],\"ratePerS\":5,\"burst\":5}]}"
check "a configuration is accepted" wait_until 15 put /config "$CONFIG"
check "the router has it" wait_until 10 revision_is 1
check "a target registers" put /instances/i-1 "{\"service\":\"s\",\"address\":\"$NETWORK.3:18410\",
  \"zone\":\"z-a\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"warmupLeftMs\":0,
  \"sequence\":1,\"born\":1000}"
check "the router has it" wait_until 10 target_is_known

check "a request with a key" explain GET test.example "/p/x?q=1" --key_file="$DIR/key"
check "names its workspace" says "workspace: w1"
check "and the first choice" says "service s: i-1"
check "a request with an unknown key" explain GET test.example /p/x --key_file="$DIR/unknown_key"
check "would get 401" says "refuse with 401: the key is unknown"
check "a request without a route" explain GET test.example /other
check "would get 404" says "refuse with 404: no route matches the host and path"

check "a method in lower case is a usage error" exits_with 2 get test.example /p/x
check "so is a path without a slash" exits_with 2 GET test.example p/x
check "so is a missing path" exits_with 2 GET test.example
check "so are a key and a workspace" \
  exits_with 2 GET test.example /p/x --key_file="$DIR/key" --workspace=w1
check "so is a file without a key" exits_with 2 GET test.example /p/x --key_file="$DIR/empty_key"
check "so is a file that cannot be read" exits_with 2 GET test.example /p/x --key_file="$DIR/none"
check "malformed input gets 400" test 400 = "$(curl -s -m 3 -o "$DIR/out" -w '%{http_code}' \
  -d "{\"$KEY\":1}" "http://$ROUTER:18404/v1/explain")"
cat "$DIR/out" >>"$DIR/all_output"
check "a controller has no such path" test 404 = "$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
  -d '{}' "http://$CONTROLLER:18404/v1/explain")"
check "an address where nobody listens" \
  exits_with 5 GET test.example /p/x --addresses="$NETWORK.9:18404"

sleep 1
check "the router has written its log" grep -q config_in_force "$DIR/logs/router.log"
check "no output has the key" not grep -F "$KEY" "$DIR/all_output"
check "no log line has the key" not grep -rF "$KEY" "$DIR/logs"
check "nothing was logged of the explained requests" not grep -F request_refused "$DIR/logs/router.log"
finish
