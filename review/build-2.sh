#!/bin/sh
# Checks that the stand-ins of the second review load. They use the standard library
# only and run in the process of a script, so nothing has to be built.
set -e
cd "$(dirname "$0")/standins-2"
PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import kit; print('stand-ins load')"
