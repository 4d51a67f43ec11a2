#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-cases ] && [ -x target/sedgehatchd ] || exit 2
exec target/review-cases unasked review/3/record.txt
