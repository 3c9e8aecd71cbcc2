#!/bin/sh
# Checks that the stand-ins of the third review, which are Python sources, can be run: they need the
# standard library only, and nothing of them is built. The deploy file's program must be built already.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import sys
assert sys.version_info >= (3, 9), sys.version
for name in ("asyncio", "json", "base64", "socket"):
    __import__(name)
compile(open("kit-3/standins.py").read(), "standins.py", "exec")
CHECK
test -x ../target/release/damaskhatch-edge
