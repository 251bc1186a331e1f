#!/usr/bin/env bash
# Guards against requests that are accepted and lost, work that runs twice, and confirmed changes that
# are not in force, quotas and limits of cold targets that are exceeded, and requests to evacuated data
# centres, while processes are stopped, restarted, killed and frozen in overlapping series. A
# short run; longer ones are started by hand, see testing/soak/route_soak_main.cc.
set -uo pipefail
BUILD=$(cd "$1" && pwd)
failed=0
for arguments in "--seed=1" "--seed=2 --kills=false"; do
  echo "--- route_soak $arguments"
  # shellcheck disable=SC2086
  "$BUILD/route_soak" --daemon="$BUILD/peridotgauged" --seconds=20 $arguments 2>/dev/null || failed=1
done
exit "$failed"
