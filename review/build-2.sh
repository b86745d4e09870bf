#!/usr/bin/env bash
# Builds what the scripts of review/4 and later start beside the build of the deploy file.
# Their stand-ins are Python programs of review/lib-2 and need only its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile lib-2/bed.py
rm -rf lib-2/__pycache__
