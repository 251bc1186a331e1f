#!/usr/bin/env bash
# Guards against a controller that stops taking part once its disk was full: as many such controllers
# as a majority accept nothing any more, although every disk has room again. A limit on the size of
# files, which prlimit changes in a running process, stands in for a full disk.
source "$(dirname "$0")/cluster.sh"
cluster_init "$1"

REVISION=1
CONTROLLER_NAMES=(controller-1 controller-2 controller-3)

fill_disk() { prlimit --pid "${PIDS[$1]}" --fsize=0:; }  # fill_disk NAME
empty_disk() { prlimit --pid "${PIDS[$1]}" --fsize=unlimited:; }

health() { curl -s -m 1 "http://$(http_of "$1")/healthz"; }
metric() { # metric NAME METRIC
  curl -s -m 1 "http://$(http_of "$1")/metrics" | awk -v name="$2" '$1 == name {print $2}'
}
refuses_writes() { health "$1" | jq -e '.controller.role == "failed"
  and (.controller.storage_error | startswith("storage_failed: "))'; }
takes_part() { health "$1" | jq -e '(.controller.role == "follower" or .controller.role == "leader")
  and .controller.storage_error == ""'; }
all_take_part() {
  local name
  for name in "${CONTROLLER_NAMES[@]}"; do takes_part "$name" || return 1; done
}
other_leader() { local id; id=$(leader); [ -n "$id" ] && [ "$id" != "$1" ]; }

apply_next() { # applies the next revision; a lost answer is repeated
  REVISION=$((REVISION + 1))
  write_config "$DIR/text.json" "$REVISION" ".services.spoons.deadline_ms = 500 + $REVISION"
  wait_until 15 cli apply "$DIR/text.json"
}
in_force() { [ "$(cli get --json | jq .revision)" = "$REVISION" ]; }

# Fills the disk of one controller during a change, and checks what the others and it do.
fill_during_change() { # fill_during_change NAME WHEN
  local outages
  outages=$(metric "$1" peridotgauge_storage_outages)
  fill_disk "$1"
  check "$2: a change is accepted while the disk of $1 is full" apply_next
  check "$2: $1 says that it cannot store" wait_until 15 refuses_writes "$1"
  check "$2: its metric says so" test "$(metric "$1" peridotgauge_storage_available)" = 0
  check "$2: another controller leads" wait_until 15 other_leader "$1"
  check "$2: a second change is accepted" apply_next
  empty_disk "$1"
  check "$2: $1 takes part again" wait_until 15 takes_part "$1"
  check "$2: its metric says so" test "$(metric "$1" peridotgauge_storage_available)" = 1
  check "$2: the outage is counted" \
    test "$(metric "$1" peridotgauge_storage_outages)" -gt "${outages:-0}"
}

start_deployment
check "all controllers take part" wait_until 15 all_take_part
declare -A FIRST_PIDS=()
for name in "${CONTROLLER_NAMES[@]}"; do FIRST_PIDS[$name]=${PIDS[$name]}; done

for name in "${CONTROLLER_NAMES[@]}"; do fill_during_change "$name" "in turn"; done
for round in 1 2; do fill_during_change "$(some_leader)" "the leader, round $round"; done

# With all disks full nothing can be accepted, and each controller says so without waiting.
for name in "${CONTROLLER_NAMES[@]}"; do fill_disk "$name"; done
REVISION=$((REVISION + 1))
write_config "$DIR/text.json" "$REVISION" ".services.spoons.deadline_ms = 500 + $REVISION"
check "all full: a change is not accepted" test "$(cli apply "$DIR/text.json" >/dev/null; echo $?)" -ne 0
check "all full: nobody leads" wait_until 15 eval '[ -z "$(leader)" ]'
check "all full: searches are answered or refused, not lost" \
  test "$(call "$(http_of router-1)" /v1/search '{"service":"fonts","query":1}' | tail -n 1)" != 000
for name in "${CONTROLLER_NAMES[@]}"; do empty_disk "$name"; done
check "all have room: all controllers take part" wait_until 15 all_take_part
check "all have room: the change is accepted" wait_until 15 cli apply "$DIR/text.json"
check "all have room: it is in force" wait_until 15 in_force
check "searches are complete" wait_until 15 search_complete

for name in "${CONTROLLER_NAMES[@]}"; do
  check "$name has not ended" test "${PIDS[$name]}" = "${FIRST_PIDS[$name]}"
  check "$name runs" kill -0 "${PIDS[$name]}"
done

# A controller that finds its disk full at the start. With a data folder it has nothing to store yet
# and follows; without one it must store its identity before it takes part.
start_on_full_disk() { # start_on_full_disk NAME
  start_program "$1" prlimit --fsize=0: "$BUILD/peridotgauged" --settings="$DIR/$1.json"
}
stop controller-1
start_on_full_disk controller-1
check "started on a full disk: a change is accepted" apply_next
check "started on a full disk: controller-1 says that it cannot store" wait_until 15 refuses_writes controller-1
empty_disk controller-1
check "started on a full disk: it takes part once there is room" wait_until 15 takes_part controller-1
stop controller-2
rm -rf "$DIR/data/controller-2"
start_on_full_disk controller-2
sleep 2
check "started on a full, empty disk: the process waits" kill -0 "${PIDS[controller-2]}"
check "started on a full, empty disk: it does not listen" test -z "$(health controller-2)"
stop controller-2
check "a controller that waits for its disk stops in order" test "$EXIT_STATUS" -eq 0
start_on_full_disk controller-2
sleep 1
empty_disk controller-2
check "started on a full, empty disk: it takes part once there is room" wait_until 15 takes_part controller-2
check "all controllers take part at the end" wait_until 15 all_take_part
check "the last change is still there" wait_until 15 in_force
finish
