"""From a file to the typed settings of a box, with all that is wrong in it said at once."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path as FilePath

import netaddr
from pydantic import ValidationError

from dapplehinge import interface as api
from dapplehinge.calls.dialplan import Destination, DialPlan
from dapplehinge.calls.network import Addr, Exchange, KindOfCall, Network, TrunkGroup
from dapplehinge.calls.origin import Origin
from dapplehinge.config.schema import BoxPart, LimitsPart, LogPart, RecordsPart
from dapplehinge.config.source import ConfigError, Path, Source
from dapplehinge.iax2.leg import Credentials
from dapplehinge.iax2.tokens import Policy

TRANSIT_CONTEXT = "transit"
"""The context of calls that other boxes send in transit."""


@dataclass(frozen=True, slots=True)
class Box:
    """All that one box runs by."""

    name: str
    listen: Addr
    network: Network
    switch_ids: tuple[int, ...]  # of the exchanges, in their order, where no directory tells
    origins: tuple[Origin, ...]
    credentials: dict[str, Credentials]
    registrations: tuple[tuple[int, int], ...]  # exchange, seconds: where this box registers, and how often
    own_credentials: tuple[Credentials | None, ...]  # the box's own at each exchange, in their order
    call_tokens: Policy
    limits: LimitsPart
    directory: Addr | None
    log: LogPart
    drain_limit: float
    seed: int
    records: RecordsPart | None
    folder: FilePath  # of the settings; names of files in them are meant from there


def split(address: str) -> Addr:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def load(path: FilePath) -> Box:
    """Read and check a file; `ConfigError` holds every problem found."""
    return build(Source.read(path), path.parent)


def build(source: Source, folder: FilePath) -> Box:
    try:
        part = BoxPart.model_validate(source.values)
    except ValidationError as fault:
        raise ConfigError([problem(source, error) for error in fault.errors()]) from None
    return _Builder(source, part, folder).box()


def problem(source: Source, error: object) -> str:
    assert isinstance(error, dict)
    path = tuple(part for part in error["loc"] if part != "[key]")
    message = str(error["msg"]).removeprefix("Value error, ")
    found = "" if error["type"] == "missing" else f", found {error['input']!r:.80}"
    return f"{source.place(path)}: {message}{found}"


class _Builder:
    def __init__(self, source: Source, part: BoxPart, folder: FilePath) -> None:
        self.source, self.part, self.folder = source, part, folder
        self.problems: list[str] = []
        self.exchanges = {name: index for index, name in enumerate(part.exchanges)}
        self.kinds = {each.name: index for index, each in enumerate(part.classes)}
        self.tenants = {each.name: index for index, each in enumerate(part.tenants)}
        self.zones = {name: index for index, name in enumerate(part.zones)}

    def wrong(self, path: Path, message: str) -> None:
        self.problems.append(f"{self.source.place(path)}: {message}")

    def known(self, names: dict[str, int], name: str, what: str, path: Path) -> int:
        if name not in names:
            allowed = ", ".join(names) or "none is set"
            self.wrong(path, f"no such {what}, found {name!r}; allowed: {allowed}")
        return names.get(name, 0)

    def networks(self, zones: list[str] | None, path: Path) -> netaddr.IPSet | None:
        if zones is None:
            return None
        found = netaddr.IPSet()
        for index, zone in enumerate(zones):
            self.known(self.zones, zone, "zone", (*path, index))
            for network in self.part.zones.get(zone, []):
                found.add(netaddr.IPNetwork(network))
        return found

    def tenant(self, name: str | None, path: Path) -> int:
        return 0 if name is None else self.known(self.tenants, name, "tenant", path)

    def secret(self, path: Path, name: str) -> bytes | None:
        file = self.folder / name
        try:
            return file.read_bytes()
        except OSError as fault:
            self.wrong(path, f"{file} can not be read: {fault.strerror}")
            return None

    def shared_secret(self, base: Path, inline: str | None, name: str | None) -> str | None:
        if name is None:
            return inline
        if inline is not None:
            self.wrong((*base, "secret_file"), "secret stands inline already; allowed is one of the two")
        raw = self.secret((*base, "secret_file"), name)
        return raw.decode("utf-8", "replace").strip() if raw else None

    def own_credentials(self, name: str) -> Credentials | None:
        """What the box answers a challenge of this exchange's switch or proxy with."""
        exchange, base = self.part.exchanges[name], ("exchanges", name)
        secret = self.shared_secret(base, exchange.secret, exchange.secret_file)
        private = None
        if exchange.private_key_file is not None:
            private = self.secret((*base, "private_key_file"), exchange.private_key_file)
        if exchange.username is None:
            if secret is not None or private is not None:
                self.wrong((*base, "username"), "a secret or key needs the name it belongs to")
            return None
        return Credentials(
            exchange.username, secret, private_pem=private, encryption=exchange.encryption
        )

    def origins(self) -> tuple[tuple[Origin, ...], dict[str, Credentials]]:
        origins: list[Origin] = []
        credentials: dict[str, Credentials] = {}
        for name, context in self.part.contexts.items():
            base: Path = ("contexts", name)
            if name == TRANSIT_CONTEXT:
                self.wrong(base, "this context is kept for calls in transit")
            origins.append(
                Origin(
                    name,
                    self.tenant(context.tenant, (*base, "tenant")),
                    self.known(self.kinds, context.kind, "class", (*base, "class")),
                    networks=self.networks(context.from_zones, (*base, "from")),
                )
            )
        for name, account in self.part.accounts.items():
            base = ("accounts", name)
            public = None
            secret = self.shared_secret(base, account.secret, account.secret_file)
            if account.public_key_file is not None:
                public = self.secret((*base, "public_key_file"), account.public_key_file)
            ways = (account.secret, account.secret_file, account.public_key_file)
            if account.encryption == "required" and secret is None:
                self.wrong((*base, "encryption"), "the key is made from a shared secret, which is missing")
            if not any(way is not None for way in ways):
                self.wrong(base, "an account needs one of secret, secret_file, public_key_file")
            credentials[name] = Credentials(name, secret, public, encryption=account.encryption)
            origins.append(
                Origin(
                    account.context,
                    self.tenant(account.tenant, (*base, "tenant")),
                    self.known(self.kinds, account.kind, "class", (*base, "class")),
                    account=name,
                    networks=self.networks(account.from_zones, (*base, "from")),
                )
            )
        if self.part.transit_from:
            networks = self.networks(self.part.transit_from, ("transit_from",))
            origins.append(Origin(TRANSIT_CONTEXT, 0, 0, in_transit=True, networks=networks))
        return tuple(origins), credentials

    def dial_plan(self) -> DialPlan:
        found: dict[str, Destination] = {}
        for index, each in enumerate(self.part.dial_plan):
            base: Path = ("dial_plan", index)
            place = self.known(self.exchanges, each.exchange, "exchange", (*base, "exchange"))
            kind = None
            if each.kind is not None:
                kind = self.known(self.kinds, each.kind, "class", (*base, "class"))
            if each.prefix in found:
                self.wrong((*base, "prefix"), f"this prefix stands twice, found {each.prefix!r}")
            found[each.prefix] = Destination(each.prefix, place, kind)
        length = self.part.number_length
        if length.least > length.most:
            self.wrong(("number_length",), f"least {length.least} is above most {length.most}")
        return DialPlan(tuple(found.values()), length.least, length.most)

    def box(self) -> Box:
        part = self.part
        own = self.known(self.exchanges, part.box, "exchange", ("box",))
        for field, names in (
            ("classes", [each.name for each in part.classes]),
            ("tenants", [each.name for each in part.tenants]),
        ):
            for index, name in enumerate(names):
                if name in names[:index]:
                    self.wrong((field, index, "name"), f"this name stands twice, found {name!r}")
        for index, kind in enumerate(part.classes):
            if kind.give_up <= part.rules.answer_margin:
                allowed = f"it must be above rules.answer_margin, {part.rules.answer_margin:g}"
                self.wrong(("classes", index, "give_up"), f"{allowed}, found {kind.give_up:g}")
        exchanges = []
        for name, exchange in part.exchanges.items():
            zone = self.known(self.zones, exchange.zone, "zone", ("exchanges", name, "zone"))
            proxy = split(exchange.proxy) if exchange.proxy else None
            exchanges.append(Exchange(name, zone, split(exchange.switch), proxy))
        groups: dict[int, TrunkGroup] = {}
        for index, group in enumerate(part.trunk_groups):
            path: Path = ("trunk_groups", index, "to")
            to = self.known(self.exchanges, group.to, "exchange", path)
            if to in groups:
                self.wrong(path, f"a second group to this exchange, found {group.to!r}")
            if group.to == part.box:
                self.wrong(path, f"a group leads to another exchange, found the own one, {group.to!r}")
            groups[to] = TrunkGroup(to, group.circuits)
        seen = set()
        for index, each in enumerate(part.limits.sources):
            if each.network in seen:
                path = ("limits", "sources", index, "network")
                self.wrong(path, f"this network stands twice, found {each.network!r}")
            seen.add(each.network)
        origins, credentials = self.origins()
        plan = self.dial_plan()
        with_proxy = [index for index, each in enumerate(exchanges) if each.proxy or index == own]
        rules = part.rules
        settings = None
        try:
            settings = api.Settings(
                classes=tuple(api.CallClass(c.target, c.worth, c.late_worth) for c in part.classes),
                own_exchange=own,
                position=with_proxy.index(own) if own in with_proxy else 0,
                proxies=max(1, len(with_proxy)),
                layout=api.Layout.NETWORK,
                guard=rules.guard,
                max_attempts=rules.max_attempts,
                round_span=5.0,
                answer_grace=0.0,
                cold_share=rules.cold_share,
                cold_span=rules.cold_span,
                fall_multiple=rules.fall_multiple,
                tip_after=rules.tip_after,
                stop_sending_within=rules.stop_sending_within,
                tenant_quotas=tuple(each.quota for each in part.tenants),
                over_share_worth=rules.over_share_worth,
                may_cancel=True,
            )
        except ValueError as fault:
            self.wrong(("rules",), str(fault))
        registrations = []
        for index, (name, exchange) in enumerate(part.exchanges.items()):
            if exchange.register_each is not None:
                registrations.append((index, exchange.register_each))
                if exchange.username is None:
                    self.wrong(("exchanges", name, "register_each"), "a registration needs a username")
        own_credentials = tuple(self.own_credentials(name) for name in part.exchanges)
        if self.problems or settings is None:
            raise ConfigError(self.problems)
        network = Network(
            settings=settings,
            exchanges=tuple(exchanges),
            groups=tuple(groups.values()),
            kinds=tuple(KindOfCall(c.name, c.give_up) for c in part.classes),
            tenants=tuple(self.tenants),
            dial_plan=plan,
            answer_margin=rules.answer_margin,
            ring_limit=rules.ring_limit,
            guard_margin=rules.guard_margin,
            by_name=self.exchanges,
        )
        ids = tuple(each.switch_id or 1 + index for index, each in enumerate(part.exchanges.values()))
        return Box(
            name=part.box,
            listen=split(part.listen),
            network=network,
            switch_ids=ids,
            origins=origins,
            credentials=credentials,
            own_credentials=own_credentials,
            registrations=tuple(registrations),
            call_tokens=Policy[part.call_tokens.upper()],
            limits=part.limits,
            directory=split(part.directory) if part.directory else None,
            log=part.log,
            records=part.records,
            folder=self.folder,
            drain_limit=rules.drain_limit,
            seed=part.seed,
        )
