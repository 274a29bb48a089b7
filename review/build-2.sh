#!/bin/bash
# Builds the stand-ins that the scripts under review/4 to review/6 start. They are Python with nothing beside its
# standard library, so that compiling them is all there is to do.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/standins_2.py review/[456]/*.py
