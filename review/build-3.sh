#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. They are
# Python of the standard library alone, so their bytecode is all there is.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/limpetdrift || sh deploy/build.sh
python3 -m compileall -q review/common-3
python3 -c "
import sys
sys.dont_write_bytecode = True
sys.path.insert(0, 'review/common-3')
import world
"
