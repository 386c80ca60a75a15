#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/target/review-2/many_routes
[ -x "$program" ] && [ -x "$root/target/packages/daemon/magnoliad" ] || exit 2
timeout -k 5 110 "$program" "$root" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
