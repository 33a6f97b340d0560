#!/bin/bash
# Plays the case against the built processes; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2 idle review/6
