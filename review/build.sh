#!/bin/sh
# Compiles the stand-ins of the scripts, which need nothing but Python 3.11.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
