#!/usr/bin/env bash
# Exits with 1 if a request that was passed on to a server got no whole answer, 0 if all did, 2 if
# the case could not run. TROUBLE=0: without the SIGTERM.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../deployment.sh"
start_deployment 1
code=0
timeout 100 "$root/target/review/case-5" "$net" "${pid_of[entry-1]}" "${TROUBLE:-1}" "$here/record.txt" || code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
