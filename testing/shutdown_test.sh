#!/usr/bin/env bash
# Guards against requests that are interrupted or refused during a graceful shutdown. A router gets
# SIGTERM under load while callers use its address until their cached list expires, and the leading
# controller gets SIGTERM.
source "$(dirname "$0")/cluster.sh"
cluster_init "$1"

WORKERS=4

# Sends searches and orders to router-1 while the cached address list of the worker contains it. The
# list is refreshed after its ttl. Records "KIND STATUS BODY".
hold_to_router() { # hold_to_router NUMBER
  local i=0 list received=0 ttl=0 address answer named
  address=$(http_of router-1)
  while [ ! -e "$DIR/stop" ]; do
    if [ $(($(now_ms) - received)) -ge "$ttl" ]; then
      list=$(curl -sf -m 2 "http://$(http_of router-2)/v1/routers")
      received=$(now_ms)
      ttl=$(jq .ttl_ms <<<"$list")
      named=false
      if [[ $list == *"\"$address\""* ]]; then named=true; fi
      continue
    fi
    if [ "$named" = false ]; then
      sleep 0.1
      continue
    fi
    i=$((i + 1))
    if [ $((i % 2)) -eq 0 ]; then
      answer=$(call "$address" /v1/search "{\"service\":\"spoons\",\"query\":$i,\"deadline_ms\":3000}")
      echo "search ${answer##*$'\n'} ${answer%%$'\n'*}"
    else
      answer=$(call "$address" /v1/order "{\"service\":\"spoons\",\"request_id\":\"held-$1-$i\",
        \"issued_at_ms\":$(now_ms),\"body\":$i,\"deadline_ms\":3000}")
      echo "order ${answer##*$'\n'} ${answer%%$'\n'*}"
    fi
  done >"$DIR/held.$1"
}

held() { cat "$DIR"/held.* | awk -v kind="$1" '$1 == kind && $2 == 200' | wc -l; }
not_answered() { cat "$DIR"/held.* | awk '$2 != 200'; }
not_listed() { # not_listed ADDRESS: succeeds if no other router lists it
  local router
  for router in router-2 router-3; do
    curl -sf -m 2 "http://$(http_of "$router")/v1/routers" | grep -q "\"$1\"" && return 1
  done
  return 0
}

start_deployment
standin '{"latency":{"median_ms":80}}' >/dev/null
LOOPS=()
for worker in $(seq 1 "$WORKERS"); do
  hold_to_router "$worker" &
  LOOPS+=("$!")
  sleep 0.3  # makes the lists expire at different times
done
# With one attempt per request, every refusal or broken connection counts as a failure. Connections
# are kept alive.
"$BUILD/loadgen" --addresses="$(addresses router-2 router-3)" --services=spoons,fonts --rate=30 \
  --order_services=spoons --order_rate=5 --seconds=10 --attempts=1 --deadline_ms=2500 \
  --timeout_ms=4000 --json="$DIR/load.json" >"$DIR/load.txt" 2>&1 &
LOAD=$!
sleep 2
before=$(held search)
stop router-1
check "the router exits with status 0" test "$EXIT_STATUS" = 0
check "the router served its callers before the shutdown" test "$before" -gt 0
check "no router names the address any more" not_listed "$(http_of router-1)"
sleep 0.5
touch "$DIR/stop"
wait "${LOOPS[@]}"
check "every request to the leaving router was answered" test -z "$(not_answered)"
not_answered | cut -c1-150 | head -n 4

# The leader transfers its leadership under load.
OLD=$(some_leader)
stop "$OLD"
check "the leading controller exits with status 0" test "$EXIT_STATUS" = 0
check "another controller leads" wait_until 5 has_leader
check "it leads because the old leader asked it to" \
  grep -q "starts an election: the leader transfers its leadership" "$DIR"/logs/controller-*.log
write_config "$DIR/next.json" 2
check "a configuration is accepted and in force" cli apply "$DIR/next.json"
wait "$LOAD"
check "the load run ended" test -s "$DIR/load.json"
check "no search of the load failed" jq -e '.searches.failed == 0 and .searches.answered > 100' "$DIR/load.json"
check "no order of the load failed" jq -e '.orders.failed == 0 and .orders.answered > 10' "$DIR/load.json"
check "no order ran twice" test "$(order_counts | jq '[.[] | select(. > 1)] | length')" = 0
check "every order of the load that was done ran" jq -e --argjson counts "$(order_counts)" \
  '[.orders.done[] | select($counts[.] != 1)] | length == 0' "$DIR/load.json"
start "$OLD"
check "the controller comes back" wait_until 10 eval \
  "curl -s -m 1 http://$(http_of "$OLD")/healthz | jq -e '.controller.leader != \"\"'"

for name in router-2 router-3 controller-1; do
  stop "$name"
  check "$name exits with status 0" test "$EXIT_STATUS" = 0
done
echo "requests to the leaving router: $(held search) searches, $(held order) orders answered"
jq -c '[.searches, .orders] | map({offered, answered, failed, errors})' "$DIR/load.json"
finish
