#!/bin/sh
# Keeps the store silent for a second, waits until it counts as stable, and lets a replica announce that it leaves.
# Exits with 1 if requests reach that replica later than the rule allows. TROUBLE=0 leaves the silence out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/guavaladderd ] && [ -x target/review/standins ] || exit 2
exec target/review/standins leaving target/release/guavaladderd review/3
