#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the proxy, after the deploy file's `build`: their stand-ins, which
# run in the script's own process, and the project's two codecs that they use.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/kit2.py review/[6-9] review/10 dapplehinge/isup dapplehinge/sip
