# Runs the case in whose folder the calling run.sh stands. Exit status: 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. With TROUBLE=0 the disruption is left out.
set -u
HERE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$HERE/../.." && pwd)
RUN=$(sed -n 's/^run = "\(.*\)".*$/\1/p' "$ROOT/deploy/balancer.toml")
PROGRAM=$ROOT/build/review-2/case-$(basename "$HERE")
RECORD=$HERE/record.txt
[ -n "$RUN" ] && [ -x "$PROGRAM" ] || { echo "not built: the deploy file's build, then review/build-2.sh"; exit 2; }
FOLDER=$(mktemp -d) || exit 2
export ROOT RUN RECORD FOLDER
timeout -k 5 110 "$PROGRAM"
status=$?
{ echo; echo "logs of the sidecars:"; for log in "$FOLDER"/n*/log; do echo "-- $(basename "$(dirname "$log")")"; cut -c1-240 "$log" | head -60; done; } >> "$RECORD" 2>/dev/null
rm -rf "$FOLDER"
[ "$status" -eq 0 ] || [ "$status" -eq 1 ] || status=2
exit "$status"
