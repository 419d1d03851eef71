#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be loaded. They are Python
# modules, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD" python3 -c \
    'import review.harness, flamingolug_standins.leased_store'
