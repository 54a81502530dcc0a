#!/bin/sh
# Builds the stand-ins of the cases 11 and up, into build/review-3/. Run from anywhere,
# after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
for n in 11 12 13 14 15; do
	[ -f "review/$n/case.c" ] || continue
	${CC:-gcc} -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter -o "$out/$n" \
	    "review/$n/case.c" review/common-3/world.c -lpthread
done
