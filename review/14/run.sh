#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
exec "$(dirname "$0")/../run_case-3.sh" 14
