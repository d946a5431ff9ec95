#!/usr/bin/env bash
# Lays beside the deployments in deploy/sites/ what the bench wants there, from the kit (KIT, ../given/kit by itself).
# Nothing of it is committed: deploy/sites/.gitignore names it.
set -euo pipefail
cd "$(dirname "$0")/sites"
kit=${KIT:-../../../given/kit}
for f in real.json wire.json unlock.txt; do
  install -m 644 "$kit/more/mass/other/$f" "$f"
done
