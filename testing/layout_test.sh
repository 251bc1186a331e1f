#!/usr/bin/env bash
# Checks the dependencies between layers. core/ and state/ must not include headers for sockets,
# files, clocks, threads or event loops, and must not read a clock. Only platform/, deploy/ and the
# program that starts the adapter may include it.
set -euo pipefail
cd "$(dirname "$0")/.."

# Prints the lines in the given folders that match the pattern, and fails if there are any.
refuse() { # refuse WHAT PATTERN FOLDER...
  local what=$1 pattern=$2
  shift 2
  if grep -rnE "$pattern" "$@"; then
    echo "FAIL: $what"
    exit 1
  fi
}

io_headers='boost/(asio|beast/(http|websocket|ssl|core\.hpp|core/[a-z_]*(stream|buffer|timer)))'
io_headers+='|boost/(filesystem|thread|process|interprocess)|sys/|netinet/|unistd\.h|fcntl\.h|poll\.h'
io_headers+='|f?stream>|iostream|filesystem|thread|mutex|condition_variable|future'
refuse "core/ and state/ include no input or output" "^#include <($io_headers)" core state
refuse "core/ and state/ include nothing of the layers round them" \
  '^#include "(io|platform|programs|bench|testing)/' core state
# <cstdio>, <ctime> and <arpa/inet.h> are allowed for text conversions only.
refuse "core/ and state/ write nothing" '^[^/]*([^ns]printf ?\(|fopen|fwrite|fputs|std::c(out|err))' core state
refuse "core/ and state/ read no clock" '^[^/]*(_clock::now|SteadyNow|UnixMillis|UnixNanos|std::time|gettimeofday) ?\(' core state
refuse "io/ does not know the adapter" '^#include "(platform|programs|bench|testing)/' io
echo "PASS layout"
