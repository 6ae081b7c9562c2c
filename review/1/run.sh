#!/bin/sh
# Takes all keys of all tenants away in three versions of the configuration, then sends requests with them and with
# a key that nobody ever held. Exits with 1 if one of them runs, with 0 if all are refused. TROUBLE=0 takes no key away.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/guavaladderd ] && [ -x target/review/standins ] || exit 2
exec target/review/standins keys target/release/guavaladderd review/1
