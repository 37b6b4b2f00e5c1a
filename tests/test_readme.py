"""The example in the README runs as it stands there."""

import re
from pathlib import Path


def test_readme_example(capsys):
    text = (Path(__file__).resolve().parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(example, "README.md", "exec"), {"__name__": "readme"})
    assert "SetUp(call=1, switch=101" in capsys.readouterr().out
