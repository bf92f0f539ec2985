#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-15 ] || exit 2
# The program reads TROUBLE: with TROUBLE=0 nothing is disturbed.
exec target/review-3/case-15 review/15
