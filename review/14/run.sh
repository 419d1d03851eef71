#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
export PYTHONPATH=target/deps
exec timeout --preserve-status -k 4 115 python3 review/14/case.py
