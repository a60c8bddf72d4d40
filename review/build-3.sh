#!/bin/sh
# Checks that the stand-ins of the cases 11 to 15 can be run. They need nothing
# but the standard library; the daemons come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q review/support3 review/1[1-5]
test -e target/deps/sardinehill/front/__main__.py
