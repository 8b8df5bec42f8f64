#!/bin/sh
# Builds the stand-ins of the scripts: plain Python without libraries.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/standins_2.py review/*/*_2.py
