#!/bin/bash
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 115 review/bin/standin late-stream target/primrose-gateway deploy/settings.ini review/3/record.txt
