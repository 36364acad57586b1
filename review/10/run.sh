#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes record.txt in this folder. Build before it: the deploy file's build and review/build-2.sh.
set -u
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "could not run: python3 is missing"; exit 2; }
exec python3 case.py
