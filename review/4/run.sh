#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the builds of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review/release/review_rig_2 ] || exit 2
[ -x target/release/trouttrack_front ] || exit 2
exec target/review/release/review_rig_2 late-arrivals "$folder"
