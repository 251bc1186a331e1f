#!/usr/bin/env bash
# Guards against requests to a draining target: from 3 s after the start of the drain, no router may
# send it a request. This includes routers that missed the state change because they were stopped or
# because the leader was killed at that moment.
source "$(dirname "$0")/cluster.sh"
cluster_init "$1"

SETTLE_SECONDS=3  # specified time until a draining target gets no requests

target_requests() { standin | jq ".[] | select(.target == \"$1\") | .requests"; }

# Sends searches and orders through every router; prints the number of complete searches.
send_work() { # send_work ROUNDS
  local round router complete=0
  for round in $(seq 1 "$1"); do
    for router in router-1 router-2 router-3; do
      if [[ $(call "$(http_of "$router")" /v1/search \
        "{\"service\":\"spoons\",\"query\":$round}") == *'"complete":true'* ]]; then
        complete=$((complete + 1))
      fi
      call "$(http_of "$router")" /v1/order "{\"service\":\"spoons\",
        \"request_id\":\"order-$router-$RANDOM-$round\",\"issued_at_ms\":$(now_ms),\"body\":$round}" \
        >/dev/null
    done
  done
  echo "$complete"
}

drain() { standin "{\"target\":\"$1\",\"drain\":true}"; }

gets_work() { # gets_work TARGET: sends some requests; succeeds if any of them reaches the target
  local before
  before=$(target_requests "$1")
  send_work 3
  [ "$(target_requests "$1")" -gt "$before" ]
}

check_no_new_work() { # check_no_new_work TARGET WHEN
  local before complete
  before=$(target_requests "$1")
  complete=$(send_work 10)
  check "$2: the target got work before" test "$before" -gt 0
  check "$2: the draining target gets no new work" test "$(target_requests "$1")" = "$before"
  check "$2: searches are complete without it" test "$complete" -eq 30
}

start_deployment
mapfile -t NAMES < <(standin | jq -r '.[] | select(.service == "spoons") | .target')
check "searches are complete" test "$(send_work 10)" -eq 30

# Drains the first target under constant load.
"$BUILD/loadgen" --addresses="$(addresses)" --services=spoons --rate=50 --order_services=spoons \
  --order_rate=10 --seconds=6 --json="$DIR/load.json" >"$DIR/load.txt" 2>&1 &
LOAD=$!
sleep 2
check "the first target drains" drain "${NAMES[0]}"
sleep "$SETTLE_SECONDS"
check_no_new_work "${NAMES[0]}" "under load"
wait "$LOAD"
check "searches of the load are answered" jq -e '.searches.failed == 0 and .searches.answered > 100' \
  "$DIR/load.json"

# Stops each router in turn with SIGSTOP while another target drains, and continues it after the
# limit.
for number in 1 2 3; do
  target=${NAMES[$number]}
  signal "router-$number" STOP
  check "target $number drains" drain "$target"
  sleep "$SETTLE_SECONDS"
  before=$(target_requests "$target")
  signal "router-$number" CONT
  for round in $(seq 1 10); do
    call "$(http_of "router-$number")" /v1/search "{\"service\":\"spoons\",\"query\":$round}"
  done >/dev/null
  check "a router that continues sends the draining target nothing" \
    test "$(target_requests "$target")" = "$before"
  check "router-$number is back" wait_until 10 search_complete "$(http_of "router-$number")"
  check "the draining target still gets nothing" test "$(target_requests "$target")" = "$before"
  standin "{\"target\":\"$target\",\"drain\":false}" >/dev/null
  check "a target that withdraws its drain gets work again" wait_until 10 gets_work "$target"
done

# Kills the leader immediately before the drain. Targets 0 and 5 hold different shards, so every
# shard still has a target.
kill_hard "$(some_leader)"
check "the target drains without a leader" drain "${NAMES[5]}"
sleep "$SETTLE_SECONDS"
before=$(target_requests "${NAMES[5]}")
send_work 10 >/dev/null
check "after a change of leader: the draining target gets no new work" \
  test "$(target_requests "${NAMES[5]}")" = "$before"
check "after a change of leader: searches are complete" wait_until 10 search_complete
if [ "$FAILED" -gt 0 ]; then
  cli search spoons '{"font":"antiikva"}'
  cli targets
fi
standin "{\"target\":\"${NAMES[0]}\",\"drain\":false}" >/dev/null
finish
