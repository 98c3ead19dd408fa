#!/usr/bin/env bash
# Plays case 14 on processes of the system. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 nothing is lost.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hyssopreeld ] && [ -x target/review-3 ] || exit 2
exec target/review-3 --case 14 --record review/14/record.txt
