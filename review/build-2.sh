#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/. They need only a C++ compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
shared=()
for source in review/standins-2/*.cc; do
  [[ $source == *_main.cc ]] || shared+=("$source")
done
for main in review/standins-2/*_main.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -Werror -Wno-missing-field-initializers -pthread -I. \
    "$main" "${shared[@]}" -o "build-review-2/$(basename "$main" .cc)"
done
