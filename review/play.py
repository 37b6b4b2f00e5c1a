"""`play.py N`: play the case in the folder N, see `run.sh` there. A fault of the case is exit code 2."""

from __future__ import annotations

import importlib.util
import sys
import traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent


def main() -> int:
    folder = HERE / sys.argv[1]
    try:
        sys.path.insert(0, str(HERE))
        import standins

        spec = importlib.util.spec_from_file_location("case", folder / "case.py")
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        return standins.play(module.case, folder)
    except Exception:
        traceback.print_exc()
        return 2


if __name__ == "__main__":
    sys.exit(main())
