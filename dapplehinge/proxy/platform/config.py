"""What the platform tells a signalling proxy: `BALANCER_*` and the JSON file that one of them names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from dapplehinge.platform.members import FeedError, address_of
from dapplehinge.platform.settings import Facts

LEAST_SOCKETS = 64
DEFAULT_MEMORY_MB = 192


class ConfigError(Exception):
    """The text names the variable or the place in the file."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    feed: tuple[str, int]
    known: Any
    facts: Facts


def from_environment(env: Mapping[str, str]) -> Config:
    """`ConfigError` where a variable is missing or its file makes no sense."""
    file = env.get("BALANCER_CONFIG")
    if not file:
        raise ConfigError("BALANCER_CONFIG: not set; it names the configuration file")
    return from_file(Path(file), env)


def from_file(file: Path, env: Mapping[str, str]) -> Config:
    try:
        data = json.loads(file.read_bytes())
    except OSError as fault:
        raise ConfigError(f"{file}: can not be read: {fault.strerror}") from None
    except ValueError as fault:
        raise ConfigError(f"{file}: no JSON: {fault}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"{file}: no JSON object")
    if not isinstance(data.get("settings"), dict):
        raise ConfigError(f"{file}: settings: missing, or no object")
    limits = data.get("limits")
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else 1024
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < LEAST_SOCKETS:
        raise ConfigError(f"{file}: limits.sockets: {sockets!r}, {LEAST_SOCKETS} are needed")
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB) if isinstance(limits, dict) else DEFAULT_MEMORY_MB
    if not isinstance(memory_mb, int | float) or isinstance(memory_mb, bool) or not memory_mb > 0:
        raise ConfigError(f"{file}: limits.memory_mb: {memory_mb!r} is no size")
    seed = data.get("seed", "0")
    try:
        number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError(f"{file}: seed: {seed!r} is no hexadecimal number") from None
    return Config(
        name=env.get("BALANCER_NAME") or str(data.get("name", "proxy")),
        listen=_address(file, "listen", env.get("BALANCER_LISTEN") or data.get("listen")),
        seed=number,
        sockets=sockets,
        memory_mb=float(memory_mb),
        feed=_address(file, "feed", data.get("feed")),
        known=data.get("known", {"n": 0, "events": []}),
        facts=Facts.from_object(data["settings"]),
    )


def _address(file: Path, place: str, text: object) -> tuple[str, int]:
    try:
        return address_of(text)
    except FeedError as fault:
        raise ConfigError(f"{file}: {place}: {fault}") from None
