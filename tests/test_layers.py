"""Imports point down only, the adapter stays free of libraries, and a running box loads nothing heavy."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "dapplehinge"
ALLOWED = {
    "limits": {"limits"},
    "membership": {"membership"},
    "iax2": {"iax2", "limits", "membership"},
    "records": {"records"},
    "calls": {"calls", "iax2", "rules", "interface"},
    "config": {"config", "calls", "iax2", "limits", "records", "interface"},
    "sip": {"sip"},
    "isup": {"isup"},
    "platform": {"platform", "sip", "isup", "calls", "rules", "interface"},
    "proxy/platform": {"proxy", "platform", "sip", "isup"},
    "proxy": {"proxy", "config", "calls", "limits", "membership", "records", "iax2", "interface"},
    "audit": {"audit", "iax2"},
}
NO_IO = {"socket", "asyncio", "time", "tornado", "structlog", "subprocess", "threading", "click", "pydantic"}


def imports(file):
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


@pytest.mark.parametrize("package", sorted(ALLOWED))
def test_imports_point_down_only(package):
    for file in (ROOT / package).glob("*.py"):
        for name in imports(file):
            parts = name.split(".")
            if parts[0] == "dapplehinge" and len(parts) > 1:
                assert parts[1] in ALLOWED[package], f"{file.name} imports {name}"


PURE = ["iax2", "limits", "membership", "calls", "records", "sip", "isup", "platform"]


@pytest.mark.parametrize("package", PURE)
def test_nothing_below_the_proxy_does_io(package):
    for file in (ROOT / package).glob("*.py"):
        assert not {name.split(".")[0] for name in imports(file)} & NO_IO, file.name


@pytest.mark.parametrize(
    ("module", "barred"),
    [
        ("dapplehinge.wirehost", ["tornado", "click", "pydantic", "structlog", "cryptography", "msgspec"]),
        ("dapplehinge.platform.settings", ["tornado", "click", "pydantic", "structlog", "socket", "asyncio"]),
        (
            "dapplehinge.proxy.platform.run",
            ["pydantic", "cryptography", "numpy", "click", "rich", "structlog", "msgspec", "json5"]
            + ["dapplehinge.iax2", "dapplehinge.calls.core"],
        ),
        ("dapplehinge.__main__", ["click", "pydantic", "tornado"]),
        ("dapplehinge.proxy.run", ["numpy", "scipy", "matplotlib", "polars", "hdrh"]),
        ("dapplehinge.cli.main", ["numpy", "matplotlib", "tornado", "rich"]),
    ],
)
def test_what_a_module_does_not_load(module, barred):
    code = f"import sys, {module}; print(*(m for m in {barred!r} if m in sys.modules))"
    found = subprocess.run([sys.executable, "-c", code], cwd=ROOT.parent, capture_output=True, text=True)
    assert found.returncode == 0, found.stderr
    assert found.stdout.split() == []
