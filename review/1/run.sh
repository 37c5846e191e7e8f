#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../run_case.sh" lost_job "$(dirname "$0")"
