"""The schema of a box's settings. Spans are milliseconds; addresses are `host:port`."""

from __future__ import annotations

from typing import Annotated, Literal

import netaddr
from pydantic import AfterValidator, BaseModel, ConfigDict, Field


def _address(text: str) -> str:
    host, sign, port = text.rpartition(":")
    if not sign or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError("an address is written host:port, with a port from 0 to 65535")
    try:
        netaddr.IPAddress(host.strip("[]"))
    except (netaddr.AddrFormatError, ValueError):
        raise ValueError("the host of an address is an IP address") from None
    return text


def _network(text: str) -> str:
    try:
        netaddr.IPNetwork(text)
    except (netaddr.AddrFormatError, ValueError):
        raise ValueError("a network is written address/prefix length") from None
    return text


def _digits(text: str) -> str:
    if not all(c in "0123456789*#" for c in text):
        raise ValueError("a prefix holds digits, * and # only")
    return text


Address = Annotated[str, AfterValidator(_address)]
IpNetwork = Annotated[str, AfterValidator(_network)]
Digits = Annotated[str, AfterValidator(_digits)]
Span = Annotated[float, Field(gt=0, le=86_400_000)]
Encryption = Literal["off", "offered", "required"]
Name = Annotated[str, Field(min_length=1, max_length=64)]


class Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, populate_by_name=True)


class ExchangePart(Part):
    zone: Name
    switch: Address
    proxy: Address | None = None
    switch_id: int | None = Field(default=None, ge=1)
    username: Name | None = None  # who the box says it is there, and what it answers a challenge with
    secret: str | None = Field(default=None, min_length=1)
    secret_file: str | None = None
    private_key_file: str | None = None
    encryption: Encryption = "off"
    register_each: int | None = Field(default=None, ge=10, le=3600, description="seconds")


class GroupPart(Part):
    to: Name
    circuits: int = Field(ge=0, le=100_000)


class ClassPart(Part):
    name: Name
    target: Span
    give_up: Span
    worth: float = Field(default=1.0, ge=0)
    late_worth: float = Field(default=0.25, ge=0, le=1)


class TenantPart(Part):
    name: Name
    quota: float = Field(gt=0, description="calls a second over all boxes")


class ContextPart(Part):
    kind: Name = Field(alias="class")
    tenant: Name | None = None
    from_zones: list[Name] | None = Field(default=None, alias="from")


class AccountPart(Part):
    encryption: Encryption = "offered"
    context: Name
    kind: Name = Field(alias="class")
    tenant: Name | None = None
    secret: str | None = Field(default=None, min_length=1)
    secret_file: str | None = None
    public_key_file: str | None = None
    from_zones: list[Name] | None = Field(default=None, alias="from")


class DialPart(Part):
    prefix: Digits
    exchange: Name
    kind: Name | None = Field(default=None, alias="class")


class LengthPart(Part):
    least: int = Field(default=1, ge=1, le=32)
    most: int = Field(default=32, ge=1, le=32)


class RulesPart(Part):
    guard: float = Field(default=300.0, ge=0, le=60_000)
    guard_margin: float = Field(default=25.0, ge=0, le=10_000)
    answer_margin: float = Field(default=200.0, ge=0, le=60_000)
    stop_sending_within: float = Field(default=250.0, ge=0, le=60_000)
    max_attempts: int = Field(default=4, ge=1, le=20)
    cold_share: float = Field(default=0.3, gt=0, le=1)
    cold_span: float = Field(default=15_000.0, ge=0)
    fall_multiple: float = Field(default=2.5, gt=0)
    tip_after: float = Field(default=3000.0, ge=0)
    over_share_worth: float = Field(default=0.2, ge=0, le=1)
    ring_limit: Span = 180_000.0
    drain_limit: Span = 30_000.0


class SourcePart(Part):
    network: IpNetwork
    set_ups: float = Field(default=1000.0, gt=0, description="a second")
    burst: float = Field(default=2000.0, ge=1)
    calls: int = Field(default=5000, ge=1, description="at once")
    each_host: bool = True


class LimitsPart(Part):
    enabled: bool = True
    busy_target: float = Field(default=0.98, gt=0.1, lt=1)
    in_hand: int = Field(default=2000, ge=1, description="calls taken that do not stand yet")
    tenant_most: float = Field(default=5.0, ge=1, description="times its part of the quota")
    default: SourcePart = SourcePart(network="0.0.0.0/0")
    sources: list[SourcePart] = []


class RecordsPart(Part):
    folder: str = Field(min_length=1)
    key_file: str | None = None
    when_full: Literal["refuse", "go_on"] = "refuse"
    segment_bytes: int = Field(default=8 << 20, ge=4096, le=1 << 30)
    most_bytes: int = Field(default=4 << 30, ge=8192)
    most_days: float = Field(default=400.0, gt=0)
    backlog_bytes: int = Field(default=8 << 20, ge=65_536)


class LogPart(Part):
    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class BoxPart(Part):
    box: Name
    listen: Address = "127.0.0.1:4569"
    zones: dict[Name, list[IpNetwork]]
    exchanges: dict[Name, ExchangePart]
    trunk_groups: list[GroupPart]
    classes: list[ClassPart] = Field(min_length=1)
    tenants: list[TenantPart] = []
    contexts: dict[Name, ContextPart] = {}
    accounts: dict[Name, AccountPart] = {}
    transit_from: list[Name] = []
    dial_plan: list[DialPart] = Field(min_length=1)
    number_length: LengthPart = LengthPart()
    rules: RulesPart = RulesPart()
    call_tokens: Literal["off", "offered", "required"] = "offered"
    limits: LimitsPart = LimitsPart()
    directory: Address | None = None
    records: RecordsPart | None = None
    log: LogPart = LogPart()
    seed: int = 1
