#!/bin/sh
# Builds the stand-ins of the cases in review/6 and after, into build/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for n in review/6/case.c review/7/case.c review/9/case.c; do
	[ -e "$n" ] || continue
	name=$(basename "$(dirname "$n")")
	${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Ireview/common-2 \
	    "$n" review/common-2/world.c -o "build/review-2/case-$name" \
	    $(pkg-config --cflags --libs jansson libsodium) -lpthread
done
# Case 8 has the stand-ins of the earlier review.
${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-unused-parameter \
    -Ireview/common review/8/case.c review/common/stand.c review/common/engines.c \
    -o build/review-2/case-8 -ljansson -lpthread
