# Functions for end-to-end tests with real processes; sourced by testing/*_test.sh.
#
# A test calls `cluster_init "$1"` with the build folder, then starts processes by name. All
# processes listen on a loopback network that no other test uses at the same time, and are terminated
# by process id when the test exits. `check` counts passed and failed checks; `finish` prints the
# result and sets the exit status.
set -uo pipefail

declare -A PIDS=()
PASSED=0
FAILED=0
CONTROLLERS=3
ROUTERS=3
DATA_CENTRES=(tre-a tre-b tre-c)
EXAMPLES=$(cd "$(dirname "${BASH_SOURCE[0]}")/../examples/local" && pwd)

# Sets NETWORK to the first three numbers of a loopback network, such as 127.16.1, which this test
# has for itself until it and the processes that it started have ended. The lock files, numbers and
# networks are those of testing/loopback_network.cc.
claim_network() {
  local folder=${TMPDIR:-/tmp}/peridotgauge_test_networks networks=2000 first=$RANDOM i number
  mkdir -p -m 1777 "$folder"
  for ((i = 0; i < networks; ++i)); do
    number=$(((first + i) % networks))
    if exec {NETWORK_LOCK}>>"$folder/$number"; then
      if flock -n "$NETWORK_LOCK"; then
        NETWORK=127.$((16 + number / 250)).$((1 + number % 250))
        return 0
      fi
      exec {NETWORK_LOCK}>&-
    fi
  done 2>/dev/null
  echo "no loopback network is free" >&2
  exit 1
}

cluster_init() { # cluster_init BUILD
  BUILD=$(cd "$1" && pwd)
  claim_network
  TARGETS_ADMIN=$NETWORK.1:19900
  CLI=$BUILD/peridotgauge
  DIR=$(mktemp -d)
  mkdir -p "$DIR/logs" "$DIR/spans" "$DIR/data"
  trap cluster_cleanup EXIT
}

cluster_cleanup() {
  local name job
  for job in $(jobs -p); do kill -TERM "$job" 2>/dev/null; done  # background load loops of the test
  for name in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$name]}" 2>/dev/null
    kill -KILL "${PIDS[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  if [ "$FAILED" -gt 0 ]; then
    echo "--- last log lines of the processes"
    tail -n 15 "$DIR"/logs/*.log
  fi
  rm -rf "$DIR"
}

http_of() { # http_of router-1 -> address
  local name=$1 number=${1##*-}
  case $name in
    router-*) echo "$NETWORK.1:$((17000 + number))" ;;
    controller-*) echo "$NETWORK.1:$((17100 + number))" ;;
  esac
}

peer_of() {
  local name=$1 number=${1##*-}
  case $name in
    router-*) echo "$NETWORK.1:$((17300 + number))" ;;
    controller-*) echo "$NETWORK.1:$((17200 + number))" ;;
  esac
}

# Writes the settings of one process. Further arguments are jq assignments, such as
# '.hedging=false'.
settings_of() { # settings_of NAME [JQ...]
  local name=$1 number=${1##*-} role=${1%-*} i controllers='[]' expression='.'
  shift
  for i in $(seq 1 "$CONTROLLERS"); do
    controllers=$(jq -c --arg id "controller-$i" --arg peer "$(peer_of "controller-$i")" \
      '. + [{id: $id, peer_address: $peer}]' <<<"$controllers")
  done
  for i in "$@"; do expression="$expression | $i"; done
  jq -n --arg id "$name" --arg role "$role" --arg dc "${DATA_CENTRES[$(((number - 1) % 3))]}" \
    --arg http "$(http_of "$name")" --arg peer "$(peer_of "$name")" --arg dir "$DIR" \
    --argjson controllers "$controllers" \
    "{id: \$id, roles: [\$role], data_centre: \$dc, http_address: \$http, peer_address: \$peer,
      controllers: \$controllers, span_file: (\$dir + \"/spans/\" + \$id + \".jsonl\")}
     + (if \$role == \"controller\" then {data_folder: (\$dir + \"/data/\" + \$id)} else {} end)
     | $expression" >"$DIR/$name.json"
}

start() { # start NAME [JQ...]: starts a router or a controller
  local name=$1
  settings_of "$@"
  "$BUILD/peridotgauged" --settings="$DIR/$name.json" >>"$DIR/logs/$name.log" 2>&1 &
  PIDS[$name]=$!
}

start_program() { # start_program NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$DIR/logs/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# Starts the stand-in targets of the example configuration in one process: two replicas of each
# shard in different data centres. Each listens on a free port.
start_targets() { # start_targets [JQ...]: assignments to the description of the targets
  local expression='.' i
  for i in "$@"; do expression="$expression | $i"; done
  jq --arg routers "$(addresses)" \
    ".routers = (\$routers | split(\",\")) | del(.groups[].first_port) | $expression" \
    "$EXAMPLES/targets.json" >"$DIR/targets.json"
  start_program targets "$BUILD/standin_target" --targets="$DIR/targets.json" \
    --admin="$TARGETS_ADMIN"
}

standin() { # standin [JSON]: the reports of all targets, after these switches
  if [ $# -eq 0 ]; then
    curl -sf -m 5 "http://$TARGETS_ADMIN/standin"
  else
    curl -sf -m 5 -d "$1" "http://$TARGETS_ADMIN/standin"
  fi
}

# Prints the number of executions of each order, summed over all targets, as a JSON object by
# request id.
order_counts() {
  standin | jq -c '[.[].order_counts | to_entries[]] | group_by(.key)
    | map({key: .[0].key, value: (map(.value) | add)}) | from_entries'
}

# Starts controllers, routers and targets, applies revision 1 and waits for a complete search.
start_deployment() {
  start_all
  start_targets
  write_config "$DIR/first.json" 1
  wait_until 15 has_leader
  wait_until 15 cli status
  wait_until 15 cli apply "$DIR/first.json"
  check "the deployment starts" wait_until 15 search_complete
}

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }

# Gets the list of router addresses from the first router that answers; prints one address per line.
ask_for_addresses() {
  local address list
  for address in $(addresses | tr ',' ' '); do
    list=$(curl -sf -m 2 "http://$address/v1/routers" | jq -r '.routers[].address' 2>/dev/null)
    if [ -n "$list" ]; then
      echo "$list"
      return 0
    fi
  done
  return 1
}

call() { # call ADDRESS PATH [JSON]: prints the body, then the HTTP status (000: none) on its own line
  local data=()
  if [ $# -gt 2 ]; then data=(-d "$3"); fi
  curl -s -m 6 -w '\n%{http_code}\n' "${data[@]}" "http://$1$2"
}

signal() { # signal NAME SIGNAL
  kill "-$2" "${PIDS[$1]}"
}

kill_hard() { # kill_hard NAME: ends the process without a shutdown
  [ -n "${PIDS[$1]:-}" ] || return 1
  kill -KILL "${PIDS[$1]}" 2>/dev/null
  wait "${PIDS[$1]}" 2>/dev/null
  unset "PIDS[$1]"
}

stop() { # stop NAME: graceful; sets EXIT_STATUS
  kill -TERM "${PIDS[$1]}" 2>/dev/null
  wait "${PIDS[$1]}" 2>/dev/null
  EXIT_STATUS=$?
  unset "PIDS[$1]"
}

start_all() {
  local i
  for i in $(seq 1 "$CONTROLLERS"); do start "controller-$i"; done
  for i in $(seq 1 "$ROUTERS"); do start "router-$i"; done
}

addresses() { # addresses [NAME...]: the HTTP addresses, comma-separated; all routers by default
  local names=("$@") list=() name i
  if [ $# -eq 0 ]; then for i in $(seq 1 "$ROUTERS"); do names+=("router-$i"); done; fi
  for name in "${names[@]}"; do list+=("$(http_of "$name")"); done
  local IFS=,
  echo "${list[*]}"
}

cli() { PERIDOTGAUGE_ADDRESSES=${ADDRESSES:-$(addresses)} "$CLI" "$@"; }

leader() { # the id of the leading controller; empty if none answers
  local i
  for i in $(seq 1 "$CONTROLLERS"); do
    curl -s -m 1 "http://$(http_of "controller-$i")/healthz" 2>/dev/null |
      jq -r 'select(.controller.role == "leader") | .id' 2>/dev/null
  done | head -n 1
}

# Waits up to 10 s for a leader and prints its id. On a busy machine an election may be in progress.
some_leader() {
  local id limit=$((SECONDS + 10))
  while [ "$SECONDS" -lt "$limit" ]; do
    id=$(leader)
    if [ -n "$id" ]; then
      echo "$id"
      return 0
    fi
    sleep 0.1
  done
  echo no-leader
  return 1
}

# Repeats a command until it succeeds or the given number of seconds has passed. The limit is
# generous: a correct system needs a small part of it.
wait_until() { # wait_until SECONDS COMMAND...
  local limit=$((SECONDS + $1))
  shift
  while [ "$SECONDS" -lt "$limit" ]; do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  return 1
}

check() { # check "what must hold" COMMAND...
  local text=$1
  shift
  if "$@" >/dev/null 2>&1; then
    PASSED=$((PASSED + 1))
    echo "ok: $text"
  else
    FAILED=$((FAILED + 1))
    echo "FAILED: $text ($*)"
  fi
}

finish() {
  echo "$PASSED passed, $FAILED failed"
  [ "$FAILED" -eq 0 ]
  exit
}

# Writes a configuration text with this revision. Further arguments are jq assignments.
write_config() { # write_config FILE REVISION [JQ...]
  local file=$1 revision=$2 expression='.' i
  shift 2
  for i in "$@"; do expression="$expression | $i"; done
  jq --argjson revision "$revision" ".revision = \$revision | $expression" \
    "$EXAMPLES/config.json" >"$file"
}

has_leader() { [ -n "$(leader)" ]; }
router_ready() { curl -sf -m 1 "http://$(http_of "$1")/v1/routers"; }
search_complete() { # search_complete [ADDRESSES]
  ADDRESSES=${1:-$(addresses)} cli search spoons '{"font":"antiikva"}' --json | jq -e .complete
}
