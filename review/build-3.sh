#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the programs of the deploy file. Their stand-ins are in
# review/lib3 and in the scripts, and need only Python 3.8 or later with its standard library.
exec python3 -B -c 'import sys; sys.exit(sys.version_info < (3, 8))'
