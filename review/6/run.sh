#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
for program in target/mimosad-dsr target/review/world; do
	if [ ! -x "$program" ]; then
		echo "$program is not built" >&2
		exit 2
	fi
done
RECORD="$here/record.txt" exec target/review/world lossy-clients
