#!/bin/sh
# Builds what the processes import into target/deps. A process may start at any
# moment of it, so the program is replaced in one step.
set -eu

deps=target/deps
build=.builds/$$

if ! [ "$deps/.ready" -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
fi
touch "$deps/.ready"
python3 -m compileall -q -o 2 -x '/\.builds/|deps/sardinehill/' "$deps"

rm -rf "${deps:?}/$build"
mkdir -p "$deps/$build"
cp -r src/sardinehill "$deps/$build/"
# The compiled modules name the path at which they are imported.
python3 -m compileall -q -o 2 -s "$deps/$build" -p "$deps" "$deps/$build"

previous=$(readlink "$deps/sardinehill" || true)
if ! [ -L "$deps/sardinehill" ]; then
    # An earlier release was built as a folder.
    rm -rf "$deps/sardinehill"
fi
ln -s "$build/sardinehill" "$deps/$build/link"
mv -T "$deps/$build/link" "$deps/sardinehill"
if [ -n "$previous" ]; then
    rm -rf "${deps:?}/$(dirname "$previous")"
fi
