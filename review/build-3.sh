#!/usr/bin/env bash
# Checks that the stand-ins of the cases 11 to 15 can start. They are Python
# sources that run with the packages of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review:.
python3 -c "import harness_3"
