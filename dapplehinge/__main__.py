"""`python -m dapplehinge`: the command line; `platform` starts without loading the rest of it."""

from __future__ import annotations

import sys


def main() -> int:
    if sys.argv[1:] == ["platform"]:
        from dapplehinge.proxy.platform.run import main as run

        return run()
    from dapplehinge.cli.main import main as cli

    cli(prog_name="dapplehinge")
    return 0


if __name__ == "__main__":
    sys.exit(main())
