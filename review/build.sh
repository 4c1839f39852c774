#!/bin/sh
# Builds the stand-ins of the scripts. They are plain Python and use only the
# standard library, so building them means compiling them.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q lib
