#!/usr/bin/env bash
# Guards against the loss of an accepted revision or a recorded order outcome when a controller
# loses its data folder and a second controller is lost immediately after the repair of the first.
source "$(dirname "$0")/cluster.sh"
cluster_init "$1"

ISSUED_AT_MS=$(now_ms)
REVISIONS=8
ORDERS=20

send_order() { # send_order NUMBER ROUTER
  call "$(http_of "$2")" /v1/order "{\"service\":\"spoons\",\"request_id\":\"order-$1\",
    \"issued_at_ms\":$ISSUED_AT_MS,\"body\":{\"text\":$1},\"deadline_ms\":3000}" | head -n 1
}

lose_folder() { # lose_folder NAME: kills the process and deletes its data folder
  kill_hard "$1"
  rm -rf "$DIR/data/$1"
}

health() { curl -s -m 1 "http://$(http_of "$1")/healthz"; }

# Succeeds if the controller has been admitted as a follower and its commit index has reached that
# of the leader.
repaired() { # repaired NAME
  local lead committed
  lead=$(leader)
  [ -n "$lead" ] && [ "$lead" != "$1" ] || return 1
  committed=$(health "$lead" | jq .controller.commit_index)
  health "$1" | jq -e ".controller.role == \"follower\" and .controller.commit_index >= $committed"
}

all_revisions() { # succeeds if every accepted text is stored unchanged
  local revision
  for revision in $(seq 1 "$REVISIONS"); do
    [ "$(cli get "$revision" --json | jq -r .text)" = "$(cat "$DIR/text-$revision.json")" ] || return 1
  done
}

all_outcomes() { # all_outcomes ROUTER: succeeds if every resent order gets its recorded outcome
  local number
  for number in $(seq 1 "$ORDERS"); do
    send_order "$number" "$1" | jq -ce 'select(.replayed) | .body' | cmp - "$DIR/body-$number" || return 1
  done
}

ran_once() { order_counts | jq -e "length == $ORDERS and all(.[]; . == 1)"; }

check_all() { # check_all WHEN
  check "$1: a controller leads" wait_until 15 has_leader
  check "$1: the routers are synchronized" wait_until 15 eval \
    'router_ready router-1 && router_ready router-2 && router_ready router-3'
  check "$1: no accepted revision is lost" all_revisions
  check "$1: no recorded outcome is lost" all_outcomes "router-$((RANDOM % 3 + 1))"
  check "$1: no order ran twice" ran_once
}

next_revision() { # next_revision WHEN
  REVISIONS=$((REVISIONS + 1))
  write_config "$DIR/text-$REVISIONS.json" "$REVISIONS" ".services.spoons.deadline_ms = 500 + $REVISIONS"
  check "$1: the next revision is accepted and in force" wait_until 15 cli apply "$DIR/text-$REVISIONS.json"
}

next_order() { # next_order WHEN
  ORDERS=$((ORDERS + 1))
  send_order "$ORDERS" router-1 | jq -ce .body >"$DIR/body-$ORDERS"
  check "$1: the next order is done" test -s "$DIR/body-$ORDERS"
}

start_deployment
cp "$DIR/first.json" "$DIR/text-1.json"
for revision in $(seq 2 "$REVISIONS"); do
  write_config "$DIR/text-$revision.json" "$revision" ".services.spoons.deadline_ms = 500 + $revision"
  call "$(http_of router-1)" /v1/config "$(cat "$DIR/text-$revision.json")" >/dev/null
done
for number in $(seq 1 "$ORDERS"); do
  send_order "$number" router-1 | jq -ce .body >"$DIR/body-$number"
done
check_all "before"

# A follower loses its folder. Immediately after its repair, the leader is killed and loses its
# folder.
FIRST_LEADER=$(some_leader)
for name in controller-1 controller-2 controller-3; do
  if [ "$name" != "$FIRST_LEADER" ]; then FOLLOWER=$name; fi
done
lose_folder "$FOLLOWER"
next_revision "without the follower"
next_order "without the follower"
start "$FOLLOWER"
check "the follower is repaired" wait_until 15 repaired "$FOLLOWER"
lose_folder "$FIRST_LEADER"
check_all "after the loss of the leader"
next_revision "after the loss of the leader"
next_order "after the loss of the leader"

# The first leader is repaired. Immediately afterwards, the new leader is killed and loses its
# folder.
start "$FIRST_LEADER"
check "the first leader is repaired" wait_until 15 repaired "$FIRST_LEADER"
SECOND_LEADER=$(some_leader)
lose_folder "$SECOND_LEADER"
check_all "after the loss of the second leader"
next_revision "after the loss of the second leader"
start "$SECOND_LEADER"
check "the second leader is repaired" wait_until 15 repaired "$SECOND_LEADER"

# Without the folders of two controllers there is no quorum: the third must not accept requests
# alone, and the empty replicas must not form a new group.
for name in controller-1 controller-2; do lose_folder "$name"; done
for name in controller-1 controller-2; do start "$name"; done
sleep 3
check "two empty replicas found no group" test -z "$(leader)"
check "two empty replicas accept nothing" \
  test "$(call "$(http_of router-1)" /v1/config "$(cat "$DIR/first.json")" | tail -n 1)" != 200
finish
