#!/bin/sh
# Puts the libraries that the entry needs, and the package, under target/deps.
set -eu
stamp=target/deps/.installed
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --root-user-action=ignore \
        --target target/deps --requirement deploy/requirements.txt
    touch "$stamp"
fi
rm -rf target/deps/limpetdrift
cp -R src/limpetdrift target/deps/limpetdrift
# The commit, or a checksum of the sources where there is no repository.
version=$(git describe --always --dirty 2>/dev/null) ||
    version=$(find src -name '*.py' | LC_ALL=C sort | xargs cat | cksum | cut -d ' ' -f 1)
printf '%s\n' "$version" > target/deps/limpetdrift/build-version.txt
python3 -m compileall -q target/deps/limpetdrift
