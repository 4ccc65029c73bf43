#!/bin/sh
# Crowded discovery: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec java -Xmx512m -cp review/target/classes review.CrowdedDiscovery "$here"
