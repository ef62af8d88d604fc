#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts into target/review. Needs the
# packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
for source in review/stand_in/*.cc review/[1-5]/case.cc; do
  [ -f "$source" ] || continue
  object="$out/$(echo "$source" | tr / _).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
done
failed=0
for job in $(jobs -p); do
  wait "$job" || failed=1
done
[ "$failed" = 0 ] || exit 1
for number in 1 2 3 4 5; do
  [ -f "review/$number/case.cc" ] || continue
  g++ "${flags[@]}" "$out"/review_stand_in_*.o "$out/review_${number}_case.cc.o" \
    -o "$out/case-$number"
done
