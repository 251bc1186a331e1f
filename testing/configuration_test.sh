#!/usr/bin/env bash
# Guards against two configurations accepted under one revision, and against a configuration that is
# reverted or lost. Operators post conflicting texts concurrently, and resend texts after many
# changes and after a restart of all controllers. A leader is stopped for longer than every lease.
source "$(dirname "$0")/cluster.sh"
cluster_init "$1"

text() { echo "$DIR/text-$1.json"; }  # file with the accepted text of a revision
make_text() { # make_text FILE REVISION MARK: texts with different marks differ
  write_config "$1" "$2" ".services.spoons.deadline_ms = 500 + $3"
}
post_config() { call "$(http_of "$1")" /v1/config "$(cat "$2")"; }  # post_config ROUTER FILE
status_of() { tail -n 1 <<<"$1"; }
body_of() { head -n 1 <<<"$1"; }

# Sends two different texts with the same revision concurrently through different routers.
race() { # race REVISION: keeps the accepted text and the rejected one in files
  local revision=$1 one two winner loser digest
  make_text "$DIR/one.json" "$revision" 1
  make_text "$DIR/two.json" "$revision" 2
  post_config router-1 "$DIR/one.json" >"$DIR/one.answer" &
  one=$!
  post_config router-2 "$DIR/two.json" >"$DIR/two.answer" &
  two=$!
  wait "$one" "$two"
  if [ "$(tail -n 1 "$DIR/one.answer")" = 200 ]; then winner=one loser=two; else winner=two loser=one; fi
  check "race for $revision: one text is accepted" \
    test "$(tail -n 1 "$DIR/$winner.answer")" = 200
  check "race for $revision: the other is a conflict" \
    test "$(tail -n 1 "$DIR/$loser.answer")" = 409
  digest=$(head -n 1 "$DIR/$winner.answer" | jq -r .digest)
  check "race for $revision: the conflict names the winner" jq -e --arg digest "$digest" \
    ".winner.revision == $revision and .winner.digest == \$digest" \
    <(head -n 1 "$DIR/$loser.answer")
  cp "$DIR/$winner.json" "$(text "$revision")"
  cp "$DIR/$loser.json" "$DIR/loser-$revision.json"
}

# Prints the digest that the configuration history records for a revision.
digest_of() { curl -s "http://$(http_of router-1)/v1/config/history" |
  jq -r ".revisions[] | select(.revision == $1) | .digest"; }

check_resend() { # check_resend WHEN REVISION DIGEST CURRENT
  local answer
  answer=$(post_config router-3 "$(text "$2")")
  check "$1: the text of $2 sent again gets its original outcome" jq -e --arg digest "$3" \
    ".revision == $2 and .digest == \$digest" <<<"$(body_of "$answer")"
  check "$1: status 200" test "$(status_of "$answer")" = 200
  answer=$(post_config router-3 "$DIR/loser-$2.json")
  check "$1: the losing text of $2 is still a conflict" test "$(status_of "$answer")" = 409
  check "$1: the conflict names the original winner" jq -e --arg digest "$3" \
    ".winner.revision == $2 and .winner.digest == \$digest" <<<"$(body_of "$answer")"
  check "$1: revision $4 stays in effect" test "$(cli get --json | jq .revision)" = "$4"
}

# Records "TIME_MS ROUTER REVISION" for each answered search until the file `stop` exists.
watch_router() {
  local answer started
  while [ ! -e "$DIR/stop" ]; do
    started=$(now_ms)
    answer=$(curl -s -m 3 -d '{"service":"fonts","query":1}' "http://$(http_of "$1")/v1/search" |
      grep -o '"revision":[0-9]*')
    if [ -n "$answer" ]; then echo "$started $1 ${answer#*:}"; else sleep 0.05; fi
  done >"$DIR/watch.$1"
}

never_back() { # never_back ROUTER: succeeds if the revisions of its answers never decrease
  awk '$3 < last {exit 1} {last = $3}' "$DIR/watch.$1"
}
no_old_answer() { # no_old_answer SINCE_MS REVISION
  ! cat "$DIR"/watch.* | awk -v since="$1" -v revision="$2" \
    '$1 >= since && $3 < revision {print; found = 1} END {exit !found}' >>"$DIR/old_answers"
}
answers_since() { # answers_since SINCE_MS ROUTER
  awk -v since="$1" '$1 >= since {n++} END {exit !n}' "$DIR/watch.$2"
}

apply_changes() { # apply_changes FIRST LAST: prints the number of accepted texts
  local revision accepted=0
  for revision in $(seq "$1" "$2"); do
    make_text "$(text "$revision")" "$revision" "$revision"
    if [ "$(status_of "$(post_config "router-$((revision % 3 + 1))" "$(text "$revision")")")" = 200 ]; then
      accepted=$((accepted + 1))
    fi
  done
  echo "$accepted"
}

history_is_whole() { # history_is_whole LAST: every revision once, in order
  cli history --json | jq -e "[.revisions[].revision] | (. == [range(1; $1 + 1)] or . == [range($1; 0; -1)])"
}

start_deployment
WATCHERS=()
for router in router-1 router-2 router-3; do
  watch_router "$router" &
  WATCHERS+=("$!")
done

for revision in 2 3 4; do race "$revision"; done
DIGEST=$(digest_of 4)
check_resend "at once" 4 "$DIGEST" 4
check "30 further changes are accepted" test "$(apply_changes 5 34)" = 30
check_resend "after 30 changes" 4 "$DIGEST" 34

for i in 1 2 3; do kill_hard "controller-$i"; done
for i in 1 2 3; do start "controller-$i"; done
check "the controllers elect a leader again" wait_until 15 has_leader
check "the routers synchronize again" wait_until 15 cli get
check_resend "after a restart of all controllers" 4 "$DIGEST" 34
check "the history is whole" history_is_whole 34

# Stops the old leader for longer than leases and sessions while all routers are connected to it.
check "all routers answer" wait_until 10 search_complete
OLD=$(some_leader)
signal "$OLD" STOP
frozen_at=$(now_ms)
make_text "$(text 35)" 35 35
check "a text is accepted and in force without the old leader" wait_until 15 cli apply "$(text 35)"
in_force_at=$(now_ms)
for router in router-1 router-2 router-3; do
  check "$router answers again" wait_until 10 answers_since "$in_force_at" "$router"
done
while [ $(($(now_ms) - frozen_at)) -lt 6000 ]; do sleep 0.1; done
signal "$OLD" CONT
for _ in $(seq 1 20); do
  call "$(http_of "$OLD")" /v1/config >>"$DIR/old_leader_reads"
  sleep 0.1
done
check "the old leader reports no old configuration" \
  test "$(grep -o '^{.*' "$DIR/old_leader_reads" | jq -s 'map(select(.revision and .revision < 35)) | length')" = 0
make_text "$(text 36)" 36 36
check "the next text is accepted and in force" wait_until 15 cli apply "$(text 36)"
next_in_force_at=$(now_ms)
sleep 1
touch "$DIR/stop"
wait "${WATCHERS[@]}"

check "no answer with an old revision after the text was in force" no_old_answer "$in_force_at" 35
check "no answer with an old revision after the next text was in force" \
  no_old_answer "$next_in_force_at" 36
for router in router-1 router-2 router-3; do
  check "the revisions of $router never go back" never_back "$router"
done
check "the history is whole at the end" history_is_whole 36
cat "$DIR/old_answers" | head -n 5
echo "$(cat "$DIR"/watch.* | wc -l) answers watched"
finish
