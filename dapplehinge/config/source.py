"""JSON5 to plain values, with the line of each field, so that an error can name its place."""

from __future__ import annotations

from pathlib import Path as FilePath
from typing import Any

import json5
from json5.loader import ModelLoader
from json5.model import JSONArray, JSONObject, JSONText

Path = tuple[str | int, ...]


class ConfigError(Exception):
    """All that is wrong with a file, one line each, with file, line and path of the field."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class Source:
    """A JSON5 file's values, and on which line each stands."""

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.lines: dict[Path, int] = {}
        try:
            model = json5.loads(text, loader=ModelLoader())
            self.values: Any = json5.loads(text)
        except Exception as fault:  # the library raises several kinds, some of them its parser's own
            raise ConfigError([f"{name}: not JSON5: {fault}"]) from None
        self._note(model.value if isinstance(model, JSONText) else model, ())

    @classmethod
    def read(cls, path: FilePath) -> Source:
        try:
            text = path.read_text(encoding="utf-8")
        except OSError as fault:
            raise ConfigError([f"{path}: can not be read: {fault.strerror}"]) from None
        except UnicodeDecodeError:
            raise ConfigError([f"{path}: is not UTF-8 text"]) from None
        return cls(str(path), text)

    def _note(self, node: Any, path: Path) -> None:
        token = getattr(node, "_tok", None)
        if token is not None:
            self.lines.setdefault(path, token.lineno)
        if isinstance(node, JSONObject):
            for key, value in zip(node.keys, node.values, strict=True):
                name = str(getattr(key, "name", None) or getattr(key, "characters", ""))
                token = getattr(key, "_tok", None)
                if token is not None:
                    self.lines[(*path, name)] = token.lineno
                self._note(value, (*path, name))
        elif isinstance(node, JSONArray):
            for index, value in enumerate(node.values):
                self._note(value, (*path, index))

    def place(self, path: Path) -> str:
        """`file:line: path` of a field; of a missing one, the line of what should hold it."""
        near = path
        while near and near not in self.lines:
            near = near[:-1]
        named = ""
        for part in path:
            named += f"[{part}]" if isinstance(part, int) else f".{part}" if named else str(part)
        return f"{self.name}:{self.lines.get(near, 1)}: {named or '(file)'}"
