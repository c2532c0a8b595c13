#!/bin/sh
# Builds the stand-ins of the cases. They are scripts of the standard library of
# Python 3.11 or newer, so all there is to do is to compile them.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins
