#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
. "$(dirname "$0")/../stand-ins-2/run-case.sh"
