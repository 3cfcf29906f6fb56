#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file. Their stand-ins are in
# review/lib2 and need only Python 3.8 or later with its standard library.
exec python3 -B -c 'import sys; sys.exit(sys.version_info < (3, 8))'
