#!/bin/sh
# Sends a request that crashes each replica that begins to run it, again and again, to two nodes before three
# replicas. Exits with 1 if it reaches replicas more often than the rule allows. With TROUBLE=0 it crashes none.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/guavaladderd ] && [ -x target/review/standins ] || exit 2
exec target/review/standins crashes target/release/guavaladderd review/2
