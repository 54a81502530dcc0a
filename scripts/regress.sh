#!/usr/bin/env bash
# Scores and hunts of the deployments in force, and what fell below the figures
# to hold of docs/MEASUREMENTS.md by more than the noise.
# Usage: scripts/regress.sh BENCH SITES_DIR [WHY]
# BENCH is the users' fleetbench, SITES_DIR the folder of their deployments.
# Exit status: 0 all held; 1 a gate failed, a rule broke or a figure fell; 2 wrong
# arguments, or a bench or a deployment that is not there.
set -u
# Deployment and days to hunt: 8 from 60 instances on, 40 below.
SITES="
further/vandbud-drift 40
further-grown/vandbud-drift-grown 8
grown/kone-reititin-grown 8
grown/hs-quayplan-grown 8
large/kone-reititin-large 8
"
# Scores of one code differ by so much between plays.
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
# What was played so far is shown, and its journal entries stay.
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
