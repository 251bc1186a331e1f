#!/usr/bin/env bash
# Guards against changed settings that are applied only on a signal, and against a process that
# exits or applies the settings partially when the file is invalid.
source "$(dirname "$0")/cluster.sh"
cluster_init "$1"

LOG=$DIR/logs/router-1.log
SETTINGS=$DIR/router-1.json
reloads() { [ "$(grep -c '"event":"reload"' "$LOG")" -ge "$1" ]; }
alive() { kill -0 "${PIDS[router-1]}"; }
with_seeds() { jq -c ".seeds = $1" "$SETTINGS" >"$DIR/next" && mv "$DIR/next" "$SETTINGS"; }

start router-1 'del(.controllers)' 'del(.span_file)' '.interface = "routes"' ".seeds = [\"$NETWORK.2\"]"
wait_until 20 grep -q '"event":"start"' "$LOG"
check "the process has started" grep -q '"event":"start"' "$LOG"

with_seeds "[\"$NETWORK.3\", \"$NETWORK.4\"]"
check "a change without a signal is taken over" wait_until 20 grep -q '"event":"reload".*"seeds":2' "$LOG"

echo '{"id": "rou' >"$SETTINGS"
check "a file that cannot be read is ignored, and said so" \
  wait_until 20 grep -q 'the changed settings are ignored' "$LOG"
check "the process goes on" alive

settings_of router-1 'del(.controllers)' 'del(.span_file)' '.interface = "routes"' \
  ".seeds = [\"$NETWORK.5\"]"
check "the next good file is taken over" wait_until 20 grep -q '"event":"reload".*"seeds":1' "$LOG"

before=$(grep -c '"event":"reload"' "$LOG")
signal router-1 HUP
check "a signal reads the same file again" wait_until 20 reloads $((before + 1))
stop router-1
check "the process ends in order" [ "$EXIT_STATUS" -eq 0 ]
finish
