#!/usr/bin/env bash
# Runs score and hunt for the current deployments and reports each score that is
# below its reference in docs/MEASUREMENTS.md by more than the noise.
# Usage: scripts/regress.sh BENCH SITES_DIR [WHY]
# BENCH is the users' fleetbench, SITES_DIR the folder of their deployments.
# Exit status: 0 no regression; 1 a gate failed, a rule was broken or a score fell;
# 2 invalid arguments, or a missing bench or deployment.
set -u
# Deployment and number of days to hunt: 8 from 60 instances up, 40 below that.
SITES="
further/vandbud-drift 40
further-grown/vandbud-drift-grown 8
grown/kone-reititin-grown 8
grown/hs-quayplan-grown 8
large/kone-reititin-large 8
"
# Scores of the same code vary by this much between runs.
NOISE=0.03
JOBS=3

usage() {
	echo "regress.sh: $1" >&2
	echo "usage: scripts/regress.sh BENCH SITES_DIR [WHY]" >&2
	exit 2
}

[ $# -ge 2 ] && [ $# -le 3 ] || usage "expected two or three arguments, found $#"
[ -x "$1" ] || usage "$1: no such program"
[ -d "$2" ] || usage "$2: no such folder"
bench=$(realpath "$1")
sites=$(realpath "$2")
why=${3:-regression}
cd "$(dirname "$0")/.." || exit 2
page=docs/MEASUREMENTS.md
while read -r name _; do
	[ -z "$name" ] || [ -f "$sites/$name.toml" ] ||
	    usage "$sites/$name.toml: no such deployment"
done <<<"$SITES"

table=$(mktemp)
status=0
finish() {
	echo "deployment score to-hold gate hunted broken verdict"
	cat "$table"
	rm -f "$table"
	exit "$status"
}
# On interruption, prints the results so far; their journal entries stay.
trap 'status=1; finish' INT TERM

figure_to_hold() {
	sed -nE "s#^\| hold \| $1 \| ([0-9.]+) \|.*#\1#p" "$page"
}

while read -r name days; do
	[ -n "$name" ] || continue
	out=$("$bench" score "$sites/$name.toml" --jobs "$JOBS" --why "$why" 2>&1)
	score=$(sed -nE 's/^score on the standard days.*: ([0-9.]+)$/\1/p' <<<"$out")
	gate=failed
	grep -q '^GATE passed' <<<"$out" && gate=passed
	out=$("$bench" hunt "$sites/$name.toml" --days "$days" --jobs "$JOBS" \
	    --why "$why" 2>&1)
	broken=$(sed -nE 's/^[0-9]+ days on .*, ([0-9]+) with a rule broken.*/\1/p' \
	    <<<"$out")
	hold=$(figure_to_hold "$name")
	verdict=held
	if [ "$gate" = failed ] || [ "${broken:-1}" != 0 ] ||
	    awk -v s="${score:-0}" -v h="${hold:-0}" -v n="$NOISE" \
		'BEGIN { exit !(s < h - n) }'; then
		verdict=FELL
		status=1
	fi
	echo "$name ${score:--} ${hold:--} $gate $days ${broken:-unknown} $verdict" \
	    >>"$table"
done <<<"$SITES"
finish
