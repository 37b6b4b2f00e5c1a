"""KNOWN-RED.txt: what it lets pass, what it prints, what it does not accept."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

PLUGIN = Path(__file__).parent / "known_red.py"
TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"


def suite(folder: Path, listed: str) -> subprocess.CompletedProcess[str]:
    shutil.copy(PLUGIN, folder / "known_red.py")
    (folder / "test_it.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\naddopts = -p known_red\npythonpath = .\n")
    (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True)


def test_a_listed_failure_passes_and_is_printed(tmp_path):
    done = suite(tmp_path, "# comment\ntest_it.py::test_red | pytest | it fails | 1\n")
    assert done.returncode == 0, done.stdout + done.stderr
    assert "failed as listed: test_it.py::test_red | pytest | it fails | 1" in done.stdout


def test_a_failure_that_is_not_listed_fails(tmp_path):
    assert suite(tmp_path, "").returncode == 1


def test_a_listed_test_that_passed_is_printed_as_such(tmp_path):
    done = suite(tmp_path, "test_it.py::test_green | a | b | 1\ntest_it.py::test_red | a | b | 1\n")
    assert done.returncode == 0 and "PASSED though listed" in done.stdout


@pytest.mark.parametrize("line", ["test_it.py::test_none | a | b | 1\n", "test_it.py::test_red | a\n"])
def test_an_entry_that_names_no_test_or_lacks_a_field_is_an_error(tmp_path, line):
    done = suite(tmp_path, line)
    assert done.returncode not in (0, 1)
    assert "KNOWN-RED.txt" in done.stdout + done.stderr
