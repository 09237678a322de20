#!/bin/sh
# Plays the case; what was sent, answered and run goes to record.txt in this folder. Ends with 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../../.." || exit 2
timeout -k 2 115 target/review-3/stand foreign-check-in "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
