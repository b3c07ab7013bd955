#!/usr/bin/env bash
# Plays the case against the program of the deploy file. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. TROUBLE=0: the same without the loss of the leader's machine.
cd "$(dirname "$0")/../.." || exit 2
stand=review/stand-2/target/release/stand-2
[ -x "$stand" ] && [ -x target/release/walkhook-adapter ] || exit 2
exec "$stand" gone review/7
