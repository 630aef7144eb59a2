#!/bin/sh
# Checks that the stand-ins of the third review load. They use the standard library and
# run in the process of a script, so nothing has to be built. Two scripts also use the
# hash function that the build of the deploy file has put under target/deps.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=standins-3:../target/deps exec python3 -c \
    "import fleet, xxhash; print('stand-ins load')"
