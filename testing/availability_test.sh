#!/usr/bin/env bash
# Guards against searches that fail after a router or a controller was killed. Each router and each
# controller in turn is killed and restarted while callers search through the listed router
# addresses. Every search must be answered by one of these addresses.
source "$(dirname "$0")/cluster.sh"
cluster_init "$1"

WORKERS=2

# Tries one search at the given addresses in turn, starting at a different one for each id; prints
# its outcome.
search_once() { # search_once ID ADDRESS...
  local id=$1 i address answer
  shift
  local named=("$@")
  for i in "${!named[@]}"; do
    address=${named[$(((i + id) % ${#named[@]}))]}
    answer=$(call "$address" /v1/search "{\"service\":\"spoons\",\"query\":{\"n\":$((id % 20))}}")
    if [ "${answer##*$'\n'}" = 200 ]; then
      if [[ $answer == *'"complete":true'* ]]; then echo complete; else echo partial; fi
      return
    fi
    echo "attempt $id $address ${answer//$'\n'/ }" >&2
  done
  echo "lost $id"
}

# Searches until the file `stop` exists. Refreshes the address list after its time-to-live of 2 s.
search_loop() { # search_loop NUMBER
  local id=0 asked=0 named=()
  while [ ! -e "$DIR/stop" ]; do
    if [ $(($(now_ms) - asked)) -ge 2000 ]; then
      if ! mapfile -t named < <(ask_for_addresses) || [ "${#named[@]}" -eq 0 ]; then
        echo "lost: no router gives addresses"
        sleep 0.1
        continue
      fi
      asked=$(now_ms)
    fi
    search_once "$id" "${named[@]}"
    id=$((id + 1))
  done >"$DIR/outcomes.$1" 2>"$DIR/attempts.$1"
}

outcomes() { cat "$DIR"/outcomes.* | grep -c "^$1"; }
none_lost() { [ "$(outcomes lost)" -eq 0 ]; }
some_answered_since() { [ $(($(outcomes complete) + $(outcomes partial))) -gt "$1" ]; }

# Kills one process while searches continue, and restarts it after 3 s.
kill_and_check() { # kill_and_check NAME READY_COMMAND...
  local name=$1 before
  shift
  before=$(($(outcomes complete) + $(outcomes partial)))
  kill_hard "$name"
  sleep 3  # longer than the 2 s lease and the 2.5 s session timeout
  check "no search is lost while $name is dead" none_lost
  check "searches go on while $name is dead" some_answered_since "$before"
  start "$name"
  check "$name comes back" wait_until 10 "$@"
}

controller_follows() { # controller_follows NAME: succeeds if the controller knows a leader
  curl -s -m 1 "http://$(http_of "$1")/healthz" | jq -e '.controller.leader != ""'
}

start_deployment
WORKER_PIDS=()
for worker in $(seq 1 "$WORKERS"); do
  search_loop "$worker" &
  WORKER_PIDS+=("$!")
done
sleep 0.5

for router in router-1 router-2 router-3; do
  kill_and_check "$router" router_ready "$router"
done
first_leader=$(some_leader)
kill_and_check "$first_leader" controller_follows "$first_leader"
for controller in controller-1 controller-2 controller-3; do
  if [ "$controller" != "$first_leader" ]; then
    kill_and_check "$controller" controller_follows "$controller"
  fi
done
touch "$DIR/stop"
wait "${WORKER_PIDS[@]}"

check "no search was lost" none_lost
check "a search is complete at the end" wait_until 10 search_complete
echo "searches: $(outcomes complete) complete, $(outcomes partial) partial, $(outcomes lost) lost;" \
  "$(cat "$DIR"/attempts.* | wc -l) attempts went to another address"
cat "$DIR"/attempts.* | sed -E 's/^attempt [0-9]+ //' | cut -c1-110 | sort | uniq -c | sort -rn | head -n 6
finish
