#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be loaded. They need only Python's
# standard library, so there is nothing else to build.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import standins.deployment"
