#!/bin/sh
# Plays the case "kept"; see claim.txt. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/rig3 ] && [ -x target/ebonyshuntd ] || { echo "build first: the deploy file, then review/build-3.sh"; exit 2; }
exec target/rig3 kept "$folder/record.txt"
