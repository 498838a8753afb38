#!/bin/sh
# Builds the stand-ins of all cases into build/review; needs g++ alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/stand_in/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "build/review/$(basename "$source" .cpp)" "$source"
done
