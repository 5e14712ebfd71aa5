#!/bin/sh
# Case 1: targets send second copies of some answers. TROUBLE=0 runs it without them.
cd "$(dirname "$0")/../.." || exit 2
. review/case.sh
run_case extra-answer review/1
