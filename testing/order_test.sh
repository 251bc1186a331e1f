#!/usr/bin/env bash
# Guards against orders that are executed twice, executed orders that are reported as "not run", and
# lost outcomes. A router is killed while orders run, targets shed orders and drop replies, and the
# controllers lose their quorum. Answers are compared with the execution counts of the targets.
source "$(dirname "$0")/cluster.sh"
cluster_init "$1"

WORKERS=4
ISSUED_AT_MS=$(now_ms)

# Sends one order and appends "ID ROUTER STATUS NOT_RUN BODY" to the file. NOT_RUN is taken from the
# answer, or "unknown" if the answer does not state it.
send_order() { # send_order FILE ID ROUTER
  local answer status not_run=unknown
  answer=$(call "$(http_of "$3")" /v1/order "{\"service\":\"spoons\",\"request_id\":\"$2\",
    \"issued_at_ms\":$ISSUED_AT_MS,\"body\":{\"text\":\"$2\"},\"deadline_ms\":3000}")
  status=${answer##*$'\n'}
  case $answer in
    *'"not_run":true'*) not_run=true ;;
    *'"not_run":false'* | *'"outcome":"done"'*) not_run=false ;;
  esac
  echo "$2 $3 $status $not_run ${answer%%$'\n'*}" >>"$1"
  [ "$status" = 200 ]
}

# Sends new orders through the routers in turn. Of the orders without an outcome, those with an even
# number are resent immediately through the next router. The others are never resent.
order_loop() { # order_loop NUMBER
  local i=0 id
  while [ ! -e "$DIR/stop" ]; do
    id="w$1-$i"
    if ! send_order "$DIR/answers.$1" "$id" "router-$((i % 3 + 1))" && [ $((i % 2)) -eq 0 ]; then
      send_order "$DIR/answers.$1" "$id" "router-$(((i + 1) % 3 + 1))"
    fi
    i=$((i + 1))
  done
}

# Resends the orders of these files that have no outcome yet and every 10th of those that have one,
# without the orders with odd numbers.
resend() { # resend ROUTER FILE...
  local router=$1 id count=0
  shift
  for id in $(awk '$1 !~ /^once/ {if ($3 == 200) done[$1] = 1; seen[$1] = 1}
                   END {for (id in seen) if (!done[id] || ++n % 10 == 0) print id}' "$@" |
    grep -v -- '-[0-9]*[13579]$'); do
    send_order "$DIR/answers.resent" "$id" "$router"
    count=$((count + 1))
  done
  echo "$count orders sent again through $router"
}

# Writes the ids of orders whose answers contradict the execution counts of the targets.
contradictions() {
  order_counts | jq -r 'to_entries[] | "\(.key) \(.value)"' >"$DIR/counts"
  cat "$DIR"/answers.* | awk -v counts="$DIR/counts" '
    BEGIN {while ((getline line < counts) > 0) {split(line, f, " "); count[f[1]] = f[2]}}
    {seen[$1] = 1
     if ($3 == 200) {done[$1] = 1}
     else if ($4 == "true") {refused[$1] = 1}
     else {unknown[$1] = 1}}
    END {
      for (id in count) if (count[id] > 1) print "twice", id, count[id]
      for (id in seen) {
        if (done[id] && count[id] != 1) print "lost", id, count[id] + 0
        if (refused[id] && !done[id] && !unknown[id] && count[id] > 0) print "refused", id, count[id]
      }
    }' >"$DIR/contradictions"
}
none_of() { ! grep "^$1 " "$DIR/contradictions"; }
check_counts() { # check_counts WHEN
  contradictions
  check "$1: no order ran twice" none_of twice
  check "$1: every order that was reported as done ran" none_of lost
  check "$1: no order that was refused as not run ran" none_of refused
  head -n 5 "$DIR/contradictions"
}
# Succeeds if all successful answers to an order have the same body, whichever router sent them.
one_body_per_order() {
  cat "$DIR"/answers.* | awk '$3 == 200 {
    match($0, /"body":.*,"replayed"/); body = substr($0, RSTART, RLENGTH)
    if ($1 in first && first[$1] != body) exit 1
    first[$1] = body}'
}
answered() { # answered STATUS NOT_RUN: prints the number of such answers
  cat "$DIR"/answers.* | awk -v status="$1" -v not_run="$2" '$3 == status && $4 == not_run' | wc -l
}

start_deployment
standin '{"latency":{"median_ms":60}}' >/dev/null
LOOPS=()
for worker in $(seq 1 "$WORKERS"); do
  order_loop "$worker" &
  LOOPS+=("$!")
done
sleep 1.5
kill_hard router-2
sleep 1
standin '{"shed":true}' >/dev/null
sleep 0.5
# On a busy machine no order may have been refused by now.
for _ in $(seq 100); do
  [ "$(answered 503 true)" -gt 0 ] && break
  sleep 0.1
done
standin '{"shed":false,"close_without_reply":1}' >/dev/null
sleep 2.5  # until the session of the killed router has expired
touch "$DIR/stop"
wait "${LOOPS[@]}"
standin '{"close_without_reply":0}' >/dev/null
check "orders are done" test "$(answered 200 false)" -gt 20
check "orders are refused as not run" test "$(answered 503 true)" -gt 0
check "orders without an answer or a known outcome exist" \
  test $(($(answered 000 unknown) + $(answered 502 false))) -gt 0
check_counts "after a killed router"
resend router-3 "$DIR"/answers.[0-9]
check_counts "after resends"
start router-2
check "the router comes back" wait_until 10 router_ready router-2
resend router-2 "$DIR"/answers.[0-9]
check_counts "after resends through the restarted router"
check "every order has one result" one_body_per_order

# Without a quorum no claim can be committed, so no order may reach a target.
LEADER=$(some_leader)
LOST=()
for controller in controller-1 controller-2 controller-3; do
  if [ "$controller" != "$LEADER" ]; then LOST+=("$controller"); fi
done
ran_before=$(order_counts | jq 'length')
kill_hard "${LOST[0]}"
kill_hard "${LOST[1]}"
for i in $(seq 1 6); do
  send_order "$DIR/answers.quorum" "once-$i" "router-$((i % 3 + 1))" &
  sleep 0.1
done
sleep 2.5  # longer than the lease
for i in $(seq 7 12); do send_order "$DIR/answers.late" "once-$i" "router-$((i % 3 + 1))"; done
check "without a quorum no order is done" test "$(grep -c ' 200 ' "$DIR/answers.late")" = 0
# Without the ledger a router cannot know whether an earlier attempt of the same id ran, so it must
# not report "not run".
check "without a quorum all orders are refused, and none as not run" \
  test "$(awk '$3 == 503 && $4 == "false"' "$DIR/answers.late" | wc -l)" = 6
check "without a quorum no order runs" test "$(order_counts | jq 'length')" = "$ran_before"
start "${LOST[0]}"
start "${LOST[1]}"
check "the controllers elect a leader again" wait_until 15 has_leader
check "all routers are back" wait_until 15 eval \
  'router_ready router-1 && router_ready router-2 && router_ready router-3'
check "a new order is done" wait_until 10 send_order "$DIR/answers.after" "after-$RANDOM" router-1
for i in $(seq 1 12); do send_order "$DIR/answers.again" "once-$i" "router-$((i % 2 + 1))"; done
check "the refused orders run when they are sent again" \
  test "$(awk '$3 == 200' "$DIR/answers.again" | wc -l)" -ge 6
check_counts "at the end"
check "every order has one result at the end" one_body_per_order
echo "answers by status and not_run:"
cat "$DIR"/answers.* | awk '{print $3, $4}' | sort | uniq -c
finish
