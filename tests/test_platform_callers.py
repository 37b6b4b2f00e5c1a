"""Room for callers: which connection gives way when the descriptors are used up, on real sockets."""

import asyncio
import socket

import pytest

from dapplehinge.platform.actions import ReleaseCaller, Respond, SendSetUp
from dapplehinge.platform.memory import MemoryBudget
from dapplehinge.platform.shutdown import CROSSING_MS
from dapplehinge.platform.telemetry import CallerClose, Shed
from dapplehinge.proxy.platform.callers import (
    CLOSE_GRACE_MS,
    IDLE_TIMEOUT_MS,
    Callers,
)
from dapplehinge.proxy.platform.listener import ACCEPT_PAUSE_S
from dapplehinge.proxy.platform.turns import Turns
from dapplehinge.sip.codec import response
from tests.platform_kit import Rig, of, said
from tests.test_platform_live import PATIENCE


def played(scenario):
    async def run():
        rig = Rig()
        rig.now = 0.0
        callers = Callers(rig.service, rig.offers, "n3", lambda: rig.now, lambda: None, lambda: 3)
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        callers.listen(sock)
        try:
            await asyncio.wait_for(scenario(rig, callers, sock.getsockname()), PATIENCE)
        finally:
            callers.stop_listening()
            for caller in list(callers.conns.values()):
                caller.stream.close()

    asyncio.run(run())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.005)


def test_silent_ones_make_room_and_one_with_a_set_up_never_does():
    async def scenario(rig, callers, addr):
        _, used = await asyncio.open_connection(*addr)
        used.write(said(0x11))
        await until(lambda: rig.service.in_flight)
        silent = [await asyncio.open_connection(*addr) for _ in range(2)]
        await until(lambda: len(callers.conns) == 3)
        first = set(callers.conns)
        more = [await asyncio.open_connection(*addr) for _ in range(2)]
        await asyncio.sleep(2 * ACCEPT_PAUSE_S)
        assert set(callers.conns) == first  # the silent ones are new: those that come wait to be accepted
        rig.now += CROSSING_MS
        for reader, _ in silent:
            assert await reader.read() == b""
        await until(lambda: len(callers.conns) == 3)
        assert rig.service.in_flight and len(more) == 2

    played(scenario)


def test_one_with_something_unread_is_passed_over():
    async def scenario(rig, callers, addr):
        _, writer = await asyncio.open_connection(*addr)
        await until(lambda: callers.conns)
        [caller] = callers.conns.values()
        writer.write(said(0x11))
        await writer.drain()
        while not caller.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
            pass
        rig.now += CROSSING_MS
        assert not callers._make_room()  # in the same turn, before the loop has read it
        await until(lambda: rig.service.in_flight)

    played(scenario)


def test_streams_that_closed_a_moment_ago_are_room_and_end_a_drain():
    async def scenario(rig, callers, addr):
        for step in (callers._make_room, callers.finish_idle):
            _, writer = await asyncio.open_connection(*addr)
            await until(lambda: callers.conns)
            [caller] = callers.conns.values()
            caller.stream.close()  # its reader is told in a later turn
            assert step() and not callers.conns
            writer.close()

    played(scenario)


def test_a_release_reaches_callers_who_closed_a_resting_connection_and_use_another():
    async def scenario(rig, callers, addr):
        first, writer = await asyncio.open_connection(*addr)
        writer.write(said(0x11, "at:s-1"))
        await until(lambda: 0x11 in rig.service.calls)
        stranger, other = await asyncio.open_connection(*addr)
        other.write(said(0x12, "dest:x"))  # makes no sense
        await until(lambda: len(callers.conns) == 2 and not callers.conns[2].reader.amid)
        writer.close()
        await until(lambda: len(callers.conns) == 1)
        [bye] = of(rig.released(0x11), ReleaseCaller)
        callers.release(bye)
        assert not callers.releases.caller_connections and len(callers.releases) == 1  # nobody calls
        again, third = await asyncio.open_connection(*addr)
        third.write(said(0x13))
        assert b"BYE sip:" in await again.read(1000)
        callers.conns[3].stream.close()  # it may not have been read
        last, fourth = await asyncio.open_connection(*addr)
        fourth.write(said(0x14))
        assert b"BYE sip:" in await last.read(1000)
        assert b"BYE sip:" not in await stranger.read(1000)
        for each in (other, third, fourth):
            each.close()

    played(scenario)


@pytest.mark.parametrize("status", [200, 481])
@pytest.mark.parametrize("stands", [False, True])
def test_a_stranger_who_answers_a_release_does_not_keep_it_from_its_caller(status, stands):
    async def scenario(rig, callers, addr):
        first, writer = await asyncio.open_connection(*addr)
        writer.write(said(0x11))
        await until(lambda: 0x11 in rig.service.calls)
        [ok] = of(rig.answered(0x11), Respond)
        callers.respond(ok)
        writer.close()
        await until(lambda: not callers.conns)
        stranger, other = await asyncio.open_connection(*addr)
        other.write(said(0x12) if stands else said(0x12, "at:s-1"))
        await until(lambda: callers.releases.caller_connections)
        if stands:
            [ok] = of(rig.answered(0x12), Respond)
            callers.respond(ok)
            await stranger.read(1000)
        [bye] = of(rig.released(0x11), ReleaseCaller)
        callers.release(bye)
        assert b"BYE sip:" in await stranger.read(1000)
        other.write(response(status, b"Call-ID: %016x\r\nCSeq: 2 BYE\r\n" % 0x11))
        other.write(said(0x13, "dest:x"))
        await stranger.read(1000)  # the answer to what came after it
        back, again = await asyncio.open_connection(*addr)
        again.write(said(0x14))
        assert b"Call-ID: %016x" % 0x11 in await back.read(1000)
        other.close()
        again.close()

    played(scenario)


def test_a_connection_that_was_just_made_is_not_ended_before_its_set_up_can_come():
    async def scenario(rig, callers, addr):
        _, writer = await asyncio.open_connection(*addr)
        await until(lambda: callers.conns)
        callers.finish_idle()
        [caller] = callers.conns.values()
        assert not caller.finishing
        rig.now += CROSSING_MS
        callers.finish_idle()
        assert caller.finishing
        writer.close()

    played(scenario)


def test_a_connection_amid_a_set_up_is_not_ended():
    async def scenario(rig, callers, addr):
        _, writer = await asyncio.open_connection(*addr)
        await until(lambda: callers.conns)
        [caller] = callers.conns.values()
        writer.write(said(0x11)[:60])
        await until(lambda: caller.reader.amid)
        rig.now += CROSSING_MS
        callers.finish_idle()
        assert not caller.finishing
        writer.write(said(0x11)[60:])
        await until(lambda: rig.service.in_flight)

    played(scenario)


def test_what_waits_to_be_accepted_is_taken_as_the_listener_closes():
    async def scenario(rig, callers, addr):
        with socket.create_connection(addr) as waiting:
            waiting.sendall(said(0x11))
            callers.stop_listening()  # in the same turn, before the loop has accepted it
            await until(lambda: rig.service.in_flight)

    played(scenario)


def test_half_a_set_up_is_ended_for_room_after_idle_connections_only():
    async def scenario(rig, callers, addr):
        _, half = await asyncio.open_connection(*addr)
        half.write(said(0x11)[:60])
        await until(lambda: any(each.reader.amid for each in callers.conns.values()))
        _, silent = await asyncio.open_connection(*addr)
        await until(lambda: len(callers.conns) == 2)
        rig.now += CROSSING_MS
        assert callers._make_room()
        [left] = callers.conns.values()
        assert left.reader.amid
        assert callers._make_room() and not callers.conns
        half.close()
        silent.close()

    played(scenario)


async def refusing(rig, callers, addr):
    """A connection of some age to a proxy that refuses all set-ups and answers in the same turn."""
    rig.service.shut_down(rig.now, rig.now)
    callers.pump = lambda: [callers.respond(each) for each in of(rig.taken(), Respond)]
    reader, writer = await asyncio.open_connection(*addr)
    await until(lambda: callers.conns)
    rig.now += CROSSING_MS
    [caller] = callers.conns.values()
    await asyncio.sleep(0.02)
    return caller, reader, writer


def test_a_connection_with_a_set_up_unread_is_answered_and_ended_in_one_turn():
    async def scenario(rig, callers, addr):
        caller, reader, writer = await refusing(rig, callers, addr)
        writer.write(said(0x11))  # sent at once; the loop has no turn to read it
        callers.finish_idle()
        assert caller.finishing
        assert (await reader.read()).count(b"SIP/2.0 503") == 1
        writer.close()

    played(scenario)


def test_a_set_up_that_came_while_a_bad_caller_was_not_read_is_answered_before_the_end():
    async def scenario(rig, callers, addr):
        caller, reader, writer = await refusing(rig, callers, addr)
        writer.write(said(0x11, "dest:x") * 4)
        await until(lambda: caller.pause)  # it is not read for a while
        writer.write(said(0x12))
        for _ in range(5):
            await asyncio.sleep(0)
        callers.finish_idle()
        await until(lambda: callers.finish_idle() or caller.finishing)
        answers = await reader.read()
        assert (answers.count(b"SIP/2.0 400"), answers.count(b"SIP/2.0 503")) == (4, 1)
        writer.close()

    played(scenario)


def test_what_is_unread_as_the_process_stops_is_answered_first():
    async def scenario(rig, callers, addr):
        _, reader, writer = await refusing(rig, callers, addr)
        writer.write(said(0x11) + said(0x12))
        callers.close_all()
        assert not callers.conns
        assert (await reader.read()).count(b"SIP/2.0 503") == 2
        writer.close()

    played(scenario)


def test_a_release_does_not_go_to_a_connection_that_was_told_the_end():
    async def scenario(rig, callers, addr):
        ended, first = await asyncio.open_connection(*addr)
        first.write(said(0x11, "at:s-1"))
        await until(lambda: callers.releases.caller_connections)
        rig.now += CROSSING_MS
        callers.finish_idle()
        [caller] = callers.conns.values()
        assert caller.finishing
        other, second = await asyncio.open_connection(*addr)
        second.write(said(0x12, "at:s-1"))
        await until(lambda: callers.releases.caller_connections)
        [bye] = of(rig.released(0x11), ReleaseCaller)
        callers.release(bye)
        assert b"BYE sip:" in await other.read(1000) and await ended.read() == b""
        first.close()
        second.close()

    played(scenario)


class SmallMemory(MemoryBudget):
    partial_messages = 3000


def answering(rig, callers):
    callers.pump = lambda: [callers.respond(each) for each in of(rig.taken(), Respond)]


def large(call, size):
    """The beginning of a set-up that is never whole."""
    return said(call).replace(b"Content-Length: 4", b"Content-Length: 9000") + b"x" * size


def test_messages_that_stop_half_way_do_not_fill_the_memory():
    async def scenario(rig, callers, addr):
        callers.memory = SmallMemory(0)
        answering(rig, callers)
        small, first = await asyncio.open_connection(*addr)
        first.write(large(0x11, 100))
        await until(lambda: callers.partial_bytes)
        reader, second = await asyncio.open_connection(*addr)
        second.write(said(0x12))
        await until(lambda: rig.service.in_flight)
        second.write(large(0x13, 4000))
        answers = await reader.read()  # to its end
        assert [line for line in answers.split(b"\r\n") if line.startswith(b"SIP/2.0")] == [
            b"SIP/2.0 504 Server Time-out",  # the set-up that was open there
            b"SIP/2.0 503 Service Unavailable",
        ]
        second.close()
        await until(lambda: len(callers.conns) == 1)
        assert rig.service.metrics.caller_closes[CallerClose.MEMORY] == 1
        [left] = callers.conns.values()
        assert callers.partial_bytes == left.reader.held_bytes > 0
        first.close()
        await until(lambda: not callers.conns)
        assert not callers.partial_bytes

    played(scenario)


def test_half_a_message_does_not_cost_the_set_ups_that_are_open_on_its_connection():
    async def scenario(rig, callers, addr):
        answering(rig, callers)
        reader, writer = await asyncio.open_connection(*addr)
        writer.write(said(0x11))
        await until(lambda: rig.service.in_flight)
        writer.write(large(0x12, 10))
        await until(lambda: callers.partial_bytes)
        rig.now += IDLE_TIMEOUT_MS
        callers.sweep(rig.now)
        assert len(callers.conns) == 1
        rig.service.answered(rig.link(1), 0x11, b"there", rig.now)
        callers.pump()
        callers.sweep(rig.now)
        answers = await reader.read()
        assert b"SIP/2.0 200 OK" in answers and b"SIP/2.0 408" in answers
        writer.close()

    played(scenario)


def test_set_ups_open_on_a_connection_that_can_t_be_read_any_more_are_answered():
    async def scenario(rig, callers, addr):
        answering(rig, callers)
        reader, writer = await asyncio.open_connection(*addr)
        writer.write(said(0x11) + said(0x12))
        await until(lambda: len(rig.service.in_flight) == 2)
        writer.write(said(0x13).replace(b"P-Kind", b"From: a\r\nFrom: b\r\nP-Kind"))
        answers = await reader.read()
        assert (answers.count(b"SIP/2.0 504"), answers.count(b"SIP/2.0 400")) == (2, 1)
        rig.now += CLOSE_GRACE_MS
        callers.sweep(rig.now)  # the caller does not close
        assert not callers.conns and rig.service.metrics.caller_closes[CallerClose.UNREADABLE] == 1
        writer.close()

    played(scenario)


def test_connections_with_much_to_be_read_share_one_turn_of_the_loop():
    async def scenario():
        turns, order = Turns(), []

        async def heavy(name):
            for _ in range(3):
                await turns.wait()
                order.append(name)

        tasks = [asyncio.ensure_future(heavy(name)) for name in range(5)]
        given_up = tasks.pop(2)
        for step in range(12):
            await asyncio.sleep(0)
            if step == 0:
                given_up.cancel()
            assert len(order) <= step + 1  # one in each turn at the most
        await asyncio.gather(*tasks)
        assert order == [0, 1, 3, 4] * 3

    asyncio.run(scenario())


def test_what_is_read_after_its_caller_has_closed_does_not_go_out():
    async def scenario(rig, callers, addr):
        _, other = await asyncio.open_connection(*addr)
        other.write(said(0x10, "at:s-2"))
        await until(lambda: 0x10 in rig.service.calls)
        with socket.create_connection(addr) as leaving:
            bye = said(0x10).replace(b"INVITE", b"BYE")
            leaving.sendall(b"".join(said(call) for call in range(0x100, 0x100 + 100)) + bye)
        await until(lambda: len(callers.conns) == 1 and 0x10 not in rig.service.calls)  # the release counts
        assert not of(rig.taken(), SendSetUp) and not rig.service.in_flight
        assert rig.service.metrics.shed[Shed.CALLER_LEFT] == 100
        other.close()

    played(scenario)
