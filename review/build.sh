#!/bin/sh
# The stand-ins are Python programs that use the standard library only; there is nothing to
# compile. Checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast,sys; [ast.parse(open(f).read()) for f in sys.argv[1:]]' standin/standin.py */case.py
