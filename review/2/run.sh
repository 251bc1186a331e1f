#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case2 ] && [ -x ../../target/peridotgauged ] || exit 2
exec timeout --signal=KILL 115 ../bin/case2 "$(cd ../.. && pwd)/target/peridotgauged"
