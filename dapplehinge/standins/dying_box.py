"""A box that dies at a named point of its record store: `dying_box OPERATION COUNT PART run FILE --fd N`.

At the COUNT-th OPERATION (begin, append, sync, cut, remove) it writes PART of the data and kills itself.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

from dapplehinge.cli.main import main
from dapplehinge.proxy.store import Disk

POINTS = ("begin", "append", "sync", "cut", "remove", "rename")


def arm(operation: str, count: int, part: float) -> None:
    usual = getattr(Disk, operation)
    left = count

    def dies(self: Disk, name: str, *given: Any) -> None:
        nonlocal left
        left -= 1
        if left > 0:
            usual(self, name, *given)
            return
        if operation in ("begin", "append"):
            with (self.folder / name).open("ab") as file:
                file.write(given[0][: int(part * len(given[0]))])
        elif part >= 0.5:
            usual(self, name, *given)
        os.kill(os.getpid(), signal.SIGKILL)

    setattr(Disk, operation, dies)


if __name__ == "__main__":
    arm(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]))
    del sys.argv[1:4]
    main()
