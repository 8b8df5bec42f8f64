#!/bin/sh
# The stand-ins of these cases are Python of the standard library: nothing is
# compiled or installed. This checks that the interpreter can load them.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c 'import sys
sys.dont_write_bytecode = True
sys.path.insert(0, "review")
import standins_3'
