#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x ../bin/rig ] && [ -x "$root/bin/eiderspread" ] || { echo "build first: the command of deploy/balancer.toml, and review/build.sh"; exit 2; }
exec ../bin/rig slow "$root" "$PWD"
