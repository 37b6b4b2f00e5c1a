"""The service on sockets: one timer, the actions carried out, and the shutdown."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from math import inf
from typing import Any

from tornado.ioloop import IOLoop, PeriodicCallback

from dapplehinge.isup import codec as isup
from dapplehinge.platform import actions as act
from dapplehinge.platform.descriptors import DescriptorBudget
from dapplehinge.platform.members import Members
from dapplehinge.platform.memory import MemoryBudget
from dapplehinge.platform.offers import OfferReader
from dapplehinge.platform.service import Service
from dapplehinge.platform.shutdown import Load, Phase, Shutdown
from dapplehinge.proxy.clock import clock
from dapplehinge.proxy.platform.callers import Callers
from dapplehinge.proxy.platform.config import Config
from dapplehinge.proxy.platform.feed import Feed
from dapplehinge.proxy.platform.links import Links

BYTES_PER_MB = 1_000_000
SWEEP_INTERVAL_MS = 250  # ms
METRICS_INTERVAL_MS = 10_000
SHUTDOWN_TICK_S = 0.005

log = logging.getLogger("dapplehinge.node")


class Node:
    def __init__(self, config: Config, sock: socket.socket) -> None:
        self.config = config
        self.loop = IOLoop.current()
        self.service = Service(config.facts, config.seed)
        self.members = Members(config.facts.items("zones"), clock() - time.time() * 1000.0)
        self.links = Links(self.service, clock, self.pump)
        self.descriptors = DescriptorBudget(config.sockets)
        offers = OfferReader(config.facts)
        memory = MemoryBudget(int(config.memory_mb * BYTES_PER_MB))
        self.callers = Callers(
            self.service, offers, config.name, clock, self.pump, self.most_callers, memory
        )
        self.shutdown = Shutdown(max(offers.longest))
        self.feed = Feed(config.feed, lambda: self.members.event, self.told)
        self.sock = sock
        self._armed = inf
        self._handle: object | None = None
        self._sweep = PeriodicCallback(lambda: self.callers.sweep(clock()), SWEEP_INTERVAL_MS)
        self._metrics = PeriodicCallback(self._log_metrics, METRICS_INTERVAL_MS)

    def start(self) -> None:
        self.service.start(clock())
        self.told(self.config.known)
        self.callers.ready = self._ready
        self.callers.listen(self.sock)
        self.feed.follow()
        self._sweep.start()
        self._metrics.start()
        log.info(
            "node.started name=%s listen=%s:%d switches=%d event=%d",
            self.config.name,
            *self.config.listen,
            len(self.members.known),
            self.members.event,
        )

    def _ready(self) -> bool:
        return self.shutdown.phase is Phase.ACCEPTING and bool(self.members.known)

    def most_callers(self) -> int:
        return self.descriptors.max_callers(len(self.service.peers))

    def told(self, answer: Any) -> None:
        changes, fault = self.members.take(answer)
        now = clock()
        for change in changes:
            self.service.told(change, now)
        self.service.links.most_per_switch = self.descriptors.links_per_switch(len(self.service.peers))
        self.pump()
        if fault is not None:
            raise ValueError(str(fault))

    def moved(self, feed: tuple[str, int]) -> None:
        log.info("feed.moved address=%s:%d event=%d", *feed, self.members.event)
        self.feed.move(feed)

    def pump(self) -> None:
        """Carry out what the service asks, and set the timer anew."""
        service = self.service
        while service.actions:
            actions, service.actions = service.actions, []
            for action in actions:
                try:
                    self._carry_out(action)
                except Exception:  # it must not cost the actions after it
                    log.exception("node.action_failed action=%s", type(action).__name__)
        due = service.next_due
        if due < self._armed:
            if self._handle is not None:
                self.loop.remove_timeout(self._handle)
            self._armed = due
            self._handle = self.loop.call_later(max(0.0, (due - clock()) / 1000.0), self._due)

    def _carry_out(self, action: act.Action) -> None:
        links = self.links
        match action:
            case act.SendSetUp(link, id_, kind, number, wait, description):
                links.write(link, isup.initial_address(id_, kind, number, wait, description))
            case act.SendRelease(link, id_, cause):
                links.write(link, isup.release(id_, cause))
            case act.SendComplete(link, id_):
                links.write(link, isup.release_complete(id_))
            case act.Respond():
                self.callers.respond(action)
            case act.ReleaseCaller():
                self.callers.release(action)
            case act.OpenLink(_, link, address, within):
                links.open(link, address, within)
            case act.CloseLink(link):
                links.close(link)
            case act.SendTest(link, id_):
                links.write(link, isup.user_part_test(id_, 1))
            case act.Log(event, text):
                log.info("%s %s", event, text)

    def _due(self) -> None:
        self._armed, self._handle = inf, None
        try:
            self.service.due(clock())
        finally:
            self.pump()  # sets the timer for what is due next

    async def drain(self) -> None:
        """Serve on, finish, close and end, at the times of `Shutdown`."""
        self.shutdown.begin(clock())
        self._log_phase(Phase.DRAINING)
        while self.shutdown.phase is not Phase.STOPPED:
            before = clock()
            await asyncio.sleep(SHUTDOWN_TICK_S)
            try:
                self._advance_shutdown(clock() - before - 1000.0 * SHUTDOWN_TICK_S)
            except Exception:  # the process ends in time all the same
                log.exception("node.shutdown_failed phase=%s", self.shutdown.phase.name)
        self.callers.close_all()
        self.feed.stop()
        self._log_metrics()

    def _advance_shutdown(self, loop_lag: float) -> None:
        before, now = self.shutdown.phase, clock()
        unanswered, connections = len(self.service.in_flight), len(self.callers.conns)
        load = Load(unanswered, connections, self.callers.last_set_up, loop_lag)
        phase = self.shutdown.advance(now, load)
        if self.service.answer_by != self.shutdown.answer_by:
            self.service.shut_down(self.shutdown.answer_by, now)
            self.pump()
        if phase is not before:
            self._log_phase(phase)
        if phase >= Phase.CLOSING:
            self.service.answer_unanswered(now)
            self.pump()
            self.callers.stop_listening()
        if phase >= Phase.FINISHING:
            self.callers.finish_idle()

    def _log_phase(self, phase: Phase) -> None:
        held = self._held()
        log.info(
            "node.%s unanswered=%d standing=%d connections=%d",
            phase.name.lower(),
            *held,
            len(self.callers.conns),
        )
        if phase >= Phase.CLOSING:
            for line in self.service.unanswered():
                log.warning("node.unanswered %s", line)

    def _log_metrics(self) -> None:
        log.info("node.metrics connections=%d %s", len(self.callers.conns), self.service.metrics.summary())

    def _held(self) -> tuple[int, int]:
        trying = len(self.service.in_flight)
        return trying, len(self.service.calls) - trying

