#!/usr/bin/env bash
# Builds the stand-ins of the cases. To be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for n in 1 2 3 4 5; do
	[ -f "$n/case.c" ] || continue
	${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-unused-parameter \
	    -Icommon -o "$n/case" "$n/case.c" common/stand.c common/engines.c \
	    -ljansson -lpthread
	echo "built review/$n/case"
done
