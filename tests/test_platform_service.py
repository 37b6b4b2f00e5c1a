"""The platform's call table on a scripted clock: what goes out to callers and switches, and when."""

import pytest

from dapplehinge import interface as api
from dapplehinge import wirehost
from dapplehinge.isup.codec import Cause
from dapplehinge.platform import actions as act
from dapplehinge.platform.members import FeedError, Members
from dapplehinge.platform.offers import OfferError, OfferReader
from dapplehinge.platform.recent import MAX_RECENT_IDS, RECENT_KEPT_MS
from dapplehinge.platform.reports import NOTES, OUTCOMES, ReportError, report_from
from dapplehinge.platform.settings import Facts, settings_from
from dapplehinge.platform.table import Attempt
from dapplehinge.platform.unclaimed import RELEASE_KEPT_MS
from tests.platform_kit import SETTINGS, Rig, event, invite, of, row, told

READY_WITHIN_MS = 30_000.0  # of a proxy's start
IDLE_CLOSE_MS = 4000.0  # of callers' connections


@pytest.fixture
def rig():
    return Rig()


def standing(rig, call=0x11, conn=1):
    rig.offer(call, conn)
    rig.answered(call)
    return rig


# Settings and set-ups


def test_nested_json_reads_as_the_bench_s_lines():
    lines = [
        "contract.cold=15000.0", "contract.cold_share=0.3", "contract.fall_multiple=3.0",
        "contract.grace_to_answer=20.0", "contract.stop_sending_within=250.0", "contract.tip_after=1500.0",
        "discovery=pushed", "family_info.guard=300.0", "family_info.layout=network",
        "family_info.own_number=0", "lanes.count=2", "lanes.0.target=2000.0", "lanes.0.worth=1.0",
        "lanes.0.late_worth=0.25", "lanes.1.target=1200.0", "lanes.1.worth=5.0", "lanes.1.late_worth=0.25",
        "n_instances=4", "policy_limits.cancel=true", "policy_limits.max_attempts=4",
        "policy_limits.max_retry_after=2000.0", "policy_limits.probes=true", "policy_limits.retry_after=true",
        "position=0", "round=5.0", "tenants.count=1", "tenants.0.quota_rps=20.0",
    ]  # fmt: skip
    facts = Facts.from_object(SETTINGS)
    assert settings_from(facts) == settings_from(Facts("\n".join(lines)))
    assert facts.text("lanes.1.name") == "bid_confirm" and facts.items("zones") == ["east", "west"]


def test_notes_and_causes_mean_what_the_bench_s_numbers_mean():
    numbers = {"congestion": 1, "crankback": 2, "remote_throttled": 18, "throttled": 3, "engaged": 4}
    assert {note: wirehost.CAUSES[number] for note, number in numbers.items()} == NOTES
    codes = {34: 429, 17: 502, 47: 502, 102: 409}
    assert {cause: wirehost.OUTCOMES[code] for cause, code in codes.items()} == OUTCOMES


def test_report_fields_come_under_either_name():
    assert report_from("x0:12;x1:40;shoe:3") == ((api.Load.FREE_CIRCUITS, 12.0), (api.Load.GROUP_SIZE, 40.0))
    assert report_from("idle:12;max_rate:7.5") == (
        (api.Load.FREE_CIRCUITS, 12.0),
        (api.Load.SET_UP_RATE, 7.5),
    )
    for text in ("x0", "x0:", "x0:nan", "x0:1e300", "x0:twelve"):
        with pytest.raises(ReportError):
            report_from(text)


@pytest.mark.parametrize(
    "fields",
    [
        {"kind": "nonesuch"}, {"kind": ""}, {"billed": "nobody"}, {"billed": ""}, {"time_left": "0"},
        {"time_left": "-5"}, {"time_left": "9001"}, {"time_left": "soon"}, {"time_left": "1e3"},
        {"time_left": "9" * 40}, {"time_left": ""}, {"second_try": "yes"}, {"path": ""},
        {"path": "dest:x"}, {"path": "dest:-1"}, {"path": "dest:70000"},
        {"path": "dest:1;dest:2"}, {"path": "dest:1;width:0"}, {"path": "dest:1;width:2"},
        {"path": "dest:1;transit:2"}, {"number": "12-34"},
    ],
)  # fmt: skip
def test_a_set_up_that_makes_no_sense_is_refused(fields):
    reader = OfferReader(Facts.from_object(SETTINGS))
    with pytest.raises(OfferError):
        reader.read(invite(**fields))


def test_a_set_up_s_fields():
    offer = OfferReader(Facts.from_object(SETTINGS)).read(
        invite(path="dest:2;width:1;via:3;transit:1;again:1", kind="bid_confirm", second_try="1")
    )
    assert (offer.call_class, offer.destination, offer.via, offer.budget) == (1, 2, 3, 3000.0)
    assert offer.in_transit and offer.again and offer.redialled and offer.description == b"body"


# The ordinary way


def test_a_call_stands_and_ends(rig):
    [set_up] = of(rig.offer(), act.SendSetUp)
    assert (set_up.link, set_up.id, set_up.kind, set_up.number) == (
        rig.link(1), 0x11, "voice", "00000000000000aa",
    )  # fmt: skip
    assert set_up.description == b"body" and 2900 < set_up.wait <= 3000
    [answer] = of(rig.answered(), act.Respond)
    assert (answer.conn, answer.status, answer.body) == (1, 200, b"there")
    [bye] = of(rig.released(), act.ReleaseCaller)
    assert (bye.conn, bye.id, bye.cause) == (1, 0x11, 16)
    assert not rig.service.calls and not rig.service.conns and not rig.peer(1).standing
    assert not of(rig.released(), act.ReleaseCaller)  # it comes again on the next link


def test_the_caller_ends_it_on_another_connection(rig):
    standing(rig)
    rig.service.caller_lost(1, rig.now)
    assert not rig.taken()
    assert rig.service.caller_released(9, 0x11, 16, rig.now)
    assert of(rig.taken(), act.SendRelease) == [act.SendRelease(rig.link(1), 0x11, 16)]
    assert not rig.service.caller_released(9, 0x11, 16, rig.now)


def test_a_refusal_says_why_to_the_module_and_the_call_goes_on_by_tandem(rig):
    rig.offer()
    rig.service.reported(rig.link(1), report_from("x0:0;x1:40"), rig.now)
    [second] = of(rig.released(cause=34, note="congestion"), act.SendSetUp)
    assert second.link in (rig.link(2), rig.link(3))


def test_engaged_is_told_as_busy(rig):
    rig.offer()
    [answer] = of(rig.released(cause=17, note="engaged"), act.Respond)
    assert answer.status == 486


def test_what_the_module_gives_up_is_answered_in_the_same_turn(rig):
    rig.offer(path="dest:1;width:1;via:-1;transit:1")
    [answer] = of(rig.released(cause=34, note="congestion"), act.Respond)
    assert answer.status == 503


def test_an_id_in_use_is_not_taken_twice(rig):
    rig.offer()
    offer = rig.offers.read(invite())
    assert not rig.service.offered(2, offer, b"", rig.now)
    rig.answered()
    assert not rig.service.offered(2, offer, b"", rig.now)


def test_an_id_that_comes_again_after_its_caller_has_left_does_not_run_twice(rig):
    rig.offer()
    rig.service.caller_lost(1, rig.now)
    standing(rig, 0x12)
    rig.released(0x12)
    rig.taken()
    for call in (0x11, 0x12):  # one was given up, one has stood and is over
        assert not rig.service.offered(2, rig.offers.read(invite(call)), b"", rig.now)
    assert not of(rig.taken(), act.SendSetUp)
    rig.service.recent.note(0x13, 1, rig.now)
    rig.wait(RECENT_KEPT_MS)
    for call in range(0x1000, 0x1000 + MAX_RECENT_IDS):
        rig.service.recent.note(call, 1, rig.now)
    assert len(rig.service.recent) == MAX_RECENT_IDS
    assert rig.service.offered(2, rig.offers.read(invite(0x11)), b"", rig.now)


def test_a_set_up_that_was_refused_unsent_may_come_again(rig):
    rig.offer(path="dest:9;width:1;via:-1")
    assert not rig.service.calls
    assert rig.service.offered(2, rig.offers.read(invite()), b"", rig.now)


# Ends that cross


def test_a_time_out_gives_up_and_answers_once(rig):
    rig.offer(time_left="1000")
    seen = rig.wait(1000)
    assert of(seen, act.SendRelease) == [act.SendRelease(rig.link(1), 0x11, 16)]
    assert [a.status for a in of(seen, act.Respond)] == [503]
    late = rig.answered()
    assert not of(late, act.Respond)
    assert of(late, act.SendRelease) == [act.SendRelease(rig.link(1), 0x11, 16)]  # it stands there for nobody


def test_a_loop_that_stalled_past_the_end_of_a_call_answers_once(rig):
    rig.offer(time_left="1000")
    rig.now += 1300
    rig.service.due(rig.now)
    assert len(of(rig.taken(), act.Respond)) == 1
    assert not of(rig.answered(), act.Respond) and not rig.service.in_flight


def test_cancel_gives_up_and_a_crossing_answer_is_released(rig):
    rig.offer()
    assert rig.service.given_up(1, 0x11, rig.now)
    seen = rig.taken()
    assert [a.status for a in of(seen, act.Respond)] == [487]
    assert of(seen, act.SendRelease) == [act.SendRelease(rig.link(1), 0x11, 16)]
    late = rig.answered()
    assert not of(late, act.Respond) and of(late, act.SendRelease)


def test_cancel_that_crosses_the_answer_ends_the_call_on_both_sides(rig):
    standing(rig)
    assert rig.service.given_up(1, 0x11, rig.now)
    seen = rig.taken()
    assert of(seen, act.SendRelease) and of(seen, act.ReleaseCaller) and not of(seen, act.Respond)


def test_cancel_from_another_connection_is_nobody_s(rig):
    rig.offer()
    assert not rig.service.given_up(2, 0x11, rig.now) and rig.service.in_flight


def test_a_caller_lost_while_trying_is_given_up(rig):
    rig.offer()
    rig.service.caller_lost(1, rig.now)
    seen = rig.taken()
    assert of(seen, act.SendRelease) and not of(seen, act.Respond)
    assert not rig.service.calls


def test_a_second_copy_of_an_answer_and_one_for_an_unknown_id(rig):
    standing(rig)
    assert rig.answered() == []
    assert rig.answered(0x99) == [act.SendRelease(rig.link(1), 0x99, 16)]
    assert 0x11 in rig.service.calls


# Rules


def test_nothing_is_sent_again_within_the_guard_and_its_margin(rig):
    rig.offer()
    began = rig.now
    rig.service.link_lost(rig.link(1), rig.now)
    seen = rig.taken()
    while not of(seen, act.SendSetUp):
        assert rig.now - began < 3000
        for action in of(seen, act.OpenLink):
            rig.service.link_up(action.link, rig.now)
        seen = rig.taken() + rig.wait(10)
    assert rig.now - began >= 350


def test_one_attempt_out_while_a_link_is_made():
    rig = Rig(linked=False)
    opens = of(rig.first, act.OpenLink)
    assert len(opens) == 4
    assert not of(rig.offer(), act.SendSetUp)
    link = rig.peer(1).opening
    rig.service.link_up(link, rig.now)
    assert [a.link for a in of(rig.taken(), act.SendSetUp)] == [link]


def test_a_cancel_while_a_link_is_made_lets_nothing_leave():
    rig = Rig(linked=False)
    rig.offer()
    rig.service.given_up(1, 0x11, rig.now)
    rig.taken()
    rig.service.link_up(rig.peer(1).opening, rig.now)
    assert rig.taken() == []


def test_a_drain_told_while_a_link_is_made_lets_nothing_leave():
    rig = Rig(linked=False)
    rig.offer()
    rig.list(row(1, "leaving"))
    rig.service.link_up(rig.peer(1).opening, rig.now)
    assert not of(rig.taken(), act.SendSetUp)
    assert not of(rig.wait(3000), act.SendSetUp)


def test_the_module_hears_of_a_drain_before_the_attempts_that_end_by_it(rig):
    rig.offer(0x10, path="dest:1;width:1;via:-1;transit:1")
    rig.answered(0x10)  # set-ups stand there: a shut rung would be tried again
    rig.service.link_lost(rig.link(1), rig.now)
    rig.taken()
    rig.offer(0x11)
    rig.list(row(1, "leaving"))
    assert rig.service.calls[0x11].attempts == 1


def test_a_refused_connection_proves_that_nothing_ran():
    rig = Rig(linked=False)
    rig.offer()
    seen = []
    rig.service.controller.handle, handle = (
        lambda now, e: (seen.append(e), handle(now, e))[1]
    ), rig.service.controller.handle
    rig.service.link_failed(rig.peer(1).opening, True, rig.now)
    assert [e.outcome for e in seen if isinstance(e, api.AttemptEnded)] == [api.Outcome.UNREACHABLE]


def test_a_lost_link_cuts_what_was_out_and_leaves_what_stands(rig):
    standing(rig)
    rig.offer(0x12)
    rig.service.link_lost(rig.link(1), rig.now)
    seen = rig.taken()
    assert of(seen, act.OpenLink) and not of(seen, act.ReleaseCaller)
    call = rig.service.calls[0x12]
    assert call.out is None and call.last is api.Outcome.CUT and 0x11 in rig.service.calls


def test_a_release_waits_for_the_next_link(rig):
    standing(rig)
    rig.service.link_lost(rig.link(1), rig.now)
    rig.taken()
    rig.service.caller_released(1, 0x11, 16, rig.now)
    assert not of(rig.taken(), act.SendRelease)
    link = rig.peer(1).opening
    rig.service.link_up(link, rig.now)
    assert of(rig.taken(), act.SendRelease) == [act.SendRelease(link, 0x11, 16)]


def relink(rig, place=1):
    peer = rig.peer(place)
    rig.service.link_lost(rig.link(place), rig.now)
    rig.wait(500)
    rig.service.link_up(peer.opening, rig.now)
    return rig.link(place), of(rig.taken(), act.SendRelease)


def test_a_release_written_to_a_link_that_closes_is_not_lost_on_its_way_to_the_switch(rig):
    for call in (0x11, 0x12):
        standing(rig, call)
        rig.service.caller_released(1, call, 16, rig.now)
    rig.service.release_confirmed(rig.link(1), 0x11)
    rig.taken()
    link, seen = relink(rig)
    assert seen == [act.SendRelease(link, 0x12, 16)]
    rig.service.release_confirmed(link, 0x12)
    assert relink(rig)[1] == []


def test_a_release_that_is_written_again_does_not_end_a_later_attempt_of_its_call(rig):
    rig.offer()
    [call] = rig.service.in_flight.values()
    old = rig.link(1)
    rig.wait(2000)
    peer = rig.peer(1)
    rig.service.link_up(peer.opening, rig.now)
    second = max(peer.links)
    rig.service._end_attempt(call, api.Outcome.CANCELLED)  # its release goes out on the first link
    rig.wait(500)
    call.out = Attempt(1, peer, rig.now, rig.now + 1000, link=second)
    rig.taken()
    rig.service.link_lost(old, rig.now)
    rig.service.link_up(peer.opening, rig.now)
    assert not of(rig.taken(), act.SendRelease)


def test_calls_at_a_switch_without_a_process_are_over_after_a_second(rig):
    standing(rig)
    rig.service.link_lost(rig.link(1), rig.now)
    seen = rig.taken()
    for _ in range(20):
        if byes := of(seen + rig.fail_links(seen, True), act.ReleaseCaller):
            break
        seen = rig.wait(100)
    assert [a.cause for a in byes] == [Cause.TEMPORARY_FAILURE] and 1000 <= rig.now - 10_000 <= 2500


def test_a_draining_switch_that_refuses_connections_keeps_its_calls(rig):
    standing(rig)
    rig.list(row(1, "leaving"))
    old = rig.link(1)
    for _ in range(100):  # it is quiet, and asked anew
        for action in of(rig.wait(100), act.OpenLink):
            if action.switch == rig.peer(1).number:
                rig.service.link_failed(action.link, True, rig.now)
            else:
                rig.service.link_up(action.link, rig.now)
        assert not of(rig.taken(), act.ReleaseCaller)
    assert 0x11 in rig.service.calls and rig.link(1) == old
    rig.service.link_lost(old, rig.now)  # the process stops
    rig.taken()
    assert [a.id for a in of(rig.list(row(1, "left")), act.ReleaseCaller)] == [0x11]


def test_a_silent_connect_does_not_end_what_stands(rig):
    standing(rig)
    rig.service.link_lost(rig.link(1), rig.now)
    seen = rig.taken()
    for _ in range(50):
        seen = rig.fail_links(seen, False) + rig.wait(100)
        assert not of(seen, act.ReleaseCaller)


def test_a_link_that_says_nothing_after_a_set_up_is_replaced(rig):
    standing(rig)
    old = rig.link(1)
    rig.wait(1000)
    for place in (0, 2, 3):
        rig.service.heard(rig.link(place), rig.now)
    rig.offer(0x12)
    [opened] = of(rig.wait(260), act.OpenLink)
    assert opened.switch == rig.peer(1).number
    rig.service.link_up(opened.link, rig.now)
    assert not of(rig.taken(), act.CloseLink)  # up is not enough: something must be heard on it
    rig.service.heard(opened.link, rig.now)
    seen = rig.taken()
    assert of(seen, act.CloseLink) == [act.CloseLink(old)]
    assert of(seen, act.OpenLink)  # what the switch said on the old one meanwhile comes on the next
    assert rig.service.calls[0x12].last is api.Outcome.CUT and 0x11 in rig.service.calls
    rig.service.answered(old, 0x12, b"late", rig.now)
    assert not of(rig.taken(), act.Respond)
    assert of(rig.released(0x11), act.ReleaseCaller)  # its release comes on the new one


def test_after_a_link_is_lost_another_is_made_though_some_are_left(rig):
    rig.wait(2000)
    peer, old = rig.peer(1), rig.link(1)
    rig.service.link_up(peer.opening, rig.now)
    rig.taken()
    assert len(peer.links) == 2
    rig.service.link_lost(old, rig.now)  # a release may have been on its way on it
    assert [a.switch for a in of(rig.taken(), act.OpenLink)] == [peer.number]
    rig.service.link_lost(next(iter(peer.links)), rig.now)  # and again, while one is being made
    rig.taken()
    rig.service.link_up(peer.opening, rig.now)
    assert [a.switch for a in of(rig.taken() + rig.wait(1000), act.OpenLink)][0] == peer.number


def test_a_look_that_comes_late_is_taken_again_after_what_waits_was_read(rig):
    rig.offer()
    rig.now += 400
    rig.service.due(rig.now)
    assert not of(rig.taken(), act.OpenLink)
    rig.service.heard(rig.link(1), rig.now)
    assert not of(rig.wait(100), act.OpenLink)


def test_a_link_that_is_heard_after_a_set_up_stays(rig):
    rig.offer()
    rig.wait(50)
    rig.service.heard(rig.link(1), rig.now)
    assert not of(rig.wait(1000), act.OpenLink)
    assert not any(link.suspect for link in rig.peer(1).links.values())


def test_nothing_goes_out_on_a_link_that_is_not_trusted(rig):
    opened = {a.switch: a.link for a in of(rig.wait(2000), act.OpenLink)}  # all is quiet
    assert not of(rig.offer(), act.SendSetUp)
    link = opened[rig.peer(1).number]
    rig.service.link_up(link, rig.now)
    assert [a.link for a in of(rig.taken(), act.SendSetUp)] == [link]


def test_a_switch_without_any_sign_ends_its_calls_before_8_s_and_hears_of_it_later(rig):
    standing(rig)
    seen, began = [], rig.now
    while not of(seen, act.ReleaseCaller):
        seen = rig.fail_links(seen, False) + rig.wait(100)
        assert rig.now - began < 7500
    assert rig.now - began >= 6000 and not rig.service.calls
    peer = rig.peer(1)
    while not peer.opening:
        rig.wait(100)
    rig.taken()
    rig.service.link_up(peer.opening, rig.now)
    assert [(a.id, a.cause) for a in of(rig.taken(), act.SendRelease)] == [(0x11, 41)]


def test_a_quiet_switch_that_takes_connections_keeps_its_calls(rig):
    standing(rig)
    for _ in range(150):
        for action in of(rig.wait(100), act.OpenLink):
            rig.service.link_up(action.link, rig.now)
            rig.service.heard(action.link, rig.now)
    assert 0x11 in rig.service.calls and all(len(p.links) <= 4 for p in rig.service.peers.values())


@pytest.mark.parametrize("links", [1, 2, 3, 4])
def test_calls_at_a_sound_switch_that_has_nothing_to_tell_are_not_ended_with_few_links(rig, links):
    rig.service.links.most_per_switch = links
    standing(rig)
    opened = []
    for _ in range(300):  # each new link brings the state of its group, and then nothing
        for action in of(opened, act.OpenLink):
            rig.service.link_up(action.link, rig.now)
            rig.service.heard(action.link, rig.now)
        opened = rig.taken() + rig.wait(100)
        assert not of(opened, act.ReleaseCaller)
        assert all(len(peer.links) <= links + 1 for peer in rig.service.peers.values())


def test_a_switch_that_hangs_and_takes_connections_does_not_get_ever_more_of_them(rig):
    rig.service.links.most_per_switch = 2
    for call in range(0x100, 0x100 + 20):
        opened = rig.offer(call, path="dest:1;width:1;via:-1;transit:1", time_left="2000")
        for _ in range(30):
            for action in of(opened, act.OpenLink):
                rig.service.link_up(action.link, rig.now)
            opened = rig.taken() + rig.wait(100)
            assert len(rig.peer(1).links) <= 2


def test_a_switch_that_left_ends_its_calls_and_its_address_may_serve_another(rig):
    standing(rig)
    rig.offer(0x12)
    old = rig.peer(1).number
    link = rig.link(1)
    seen = rig.list(row(1, "left"), row(1, id_="s-new", addr="127.0.0.2:2905"))
    assert act.CloseLink(link) in seen
    assert [a.id for a in of(seen, act.ReleaseCaller)] == [0x11]
    new = rig.service.by_id["s-new"]
    assert new.number > old and of(seen, act.OpenLink)[0].switch == new.number
    rig.service.answered(link, 0x12, b"late", rig.now)  # on the link of the one that left
    assert not of(rig.taken(), act.Respond)
    rig.service.link_up(new.opening, rig.now)
    assert not of(rig.taken(), act.SendSetUp)  # in doubt: the guard is awaited
    assert [a.link for a in of(rig.wait(400), act.SendSetUp)] == [next(iter(new.links))]


def test_a_call_brought_back_is_found_by_releases_from_either_side(rig):
    for call in (0x21, 0x22, 0x23):
        offer = rig.offers.read(invite(call, path="dest:1;width:1;via:-1;at:s-1", time_left=""))
        assert rig.service.offered(3, offer, b"", rig.now)
    assert rig.taken() == []
    assert of(rig.released(0x21), act.ReleaseCaller)
    assert rig.service.caller_released(4, 0x22, 16, rig.now)
    assert of(rig.taken(), act.SendRelease)
    offer = rig.offers.read(invite(0x23, path="at:s-1"))  # named again
    assert rig.service.offered(5, offer, b"", rig.now) and rig.service.calls[0x23].conn == 5


def test_a_call_brought_back_at_a_switch_that_left_is_over(rig):
    offer = rig.offers.read(invite(0x21, path="at:s-77"))
    rig.service.offered(3, offer, b"", rig.now)
    assert [a.id for a in of(rig.taken(), act.ReleaseCaller)] == [0x21]


def test_a_group_s_state_reaches_the_module(rig):
    rig.service.reported(rig.link(1), report_from("x0:0;x1:40"), rig.now)
    rig.service.reported(rig.link(2), report_from("x0:30;x1:40"), rig.now)
    rig.service.reported(rig.link(3), report_from("x0:0;x1:40"), rig.now)
    assert [a.link for a in of(rig.offer(), act.SendSetUp)] == [rig.link(2)]


def test_nothing_is_left_of_a_thousand_calls(rig):
    for call in range(1000, 2000):
        rig.offer(call, conn=call)
        if call % 3 == 0:
            rig.service.given_up(call, call, rig.now)
        else:
            rig.answered(call)
            rig.released(call)
        rig.wait(5)
    rig.wait(10_000)
    service = rig.service
    assert not service.calls and not service.in_flight and not service.conns
    for peer in service.peers.values():
        assert not peer.standing and not any(link.out for link in peer.links.values())
    assert len(service._agenda.things()) < 10


# The list


def test_events_in_sequence_copies_and_a_whole_list():
    members = Members(["east", "west"], -1000.0)
    [change], fault = members.take(told(event(1, row(0), row(1), full=True)))
    assert fault is None and change.told.kind is api.ListKind.WHOLE
    assert [e.zone for e in change.told.entries] == [1, 1]
    assert members.take(told(event(1, row(5)))) == ([], None)
    [change], _ = members.take(told(event(2, row(2, started_ms=5000))))
    assert change.told.entries[0].started_at == 4000.0
    [change], _ = members.take(told(event(3, row(2), full=True)))
    assert [m.id for m in change.members if m.entry.state is api.SwitchState.GONE] == ["s-0", "s-1"]


def test_an_id_that_left_comes_back_as_another_number():
    members = Members([], 0.0)
    members.take(told(event(1, row(0), full=True)))
    first = members.known["s-0"].number
    members.take(told(event(2, {"id": "s-0", "state": "left"})))
    members.take(told(event(3, row(0))))
    assert members.known["s-0"].number > first


@pytest.mark.parametrize(
    "bad", [{"id": 3}, {"state": "odd"}, {"addr": "nowhere"}, {"cell": "x"}, {"started_ms": "x"}, {"id": ""}]
)
def test_an_event_that_can_t_be_read_stops_there(bad):
    members = Members([], 0.0)
    changes, fault = members.take(told(event(1, row(0), full=True), event(2, row(1) | bad), event(3, row(2))))
    assert len(changes) == 1 and isinstance(fault, FeedError) and members.event == 1


@pytest.mark.parametrize("answer", [None, [], {}, {"events": 3}, {"events": [3]}, {"events": [{"n": True}]}])
def test_an_answer_that_is_none(answer):
    assert isinstance(Members([], 0.0).take(answer)[1], FeedError)


def test_a_release_that_came_before_its_call_was_brought_back_is_passed_on(rig):
    rig.released(0x31)
    offer = rig.offers.read(invite(0x31, path="at:s-1"))
    assert rig.service.offered(4, offer, b"", rig.now)
    [bye] = of(rig.taken(), act.ReleaseCaller)
    assert (bye.conn, bye.id, bye.cause) == (4, 0x31, 16)
    assert not rig.service.calls and not rig.peer(1).standing


def test_a_call_that_ended_while_the_proxy_was_down_and_comes_back_late_is_not_left_standing(rig):
    rig.released(0x31)
    rig.wait(READY_WITHIN_MS + IDLE_CLOSE_MS)
    [bye] = of(rig.offer(0x31, path="at:s-1"), act.ReleaseCaller)
    assert bye.id == 0x31 and not rig.peer(1).standing


def test_a_release_by_another_switch_or_long_ago_does_not_end_a_call_that_is_brought_back(rig):
    rig.released(0x31, place=2)
    rig.released(0x32)
    rig.wait(RELEASE_KEPT_MS + 1)
    for call in (0x31, 0x32):
        assert rig.service.offered(4, rig.offers.read(invite(call, path="at:s-1")), b"", rig.now)
    assert not of(rig.taken(), act.ReleaseCaller) and len(rig.peer(1).standing) == 2


def test_another_client_that_names_a_call_does_not_get_its_release_in_place_of_its_caller(rig):
    standing(rig, conn=1)
    rig.offer(conn=2, path="at:s-1")
    [bye] = of(rig.released(), act.ReleaseCaller)
    assert bye.conn == 1


def test_a_client_that_names_a_trying_call_at_no_switch_does_not_get_its_answer(rig):
    rig.offer(conn=1)
    rig.offer(conn=2, path="at:s-none")
    [answer] = of(rig.answered(), act.Respond)
    assert answer.conn == 1


def test_releases_of_calls_that_only_callers_vouch_for_are_marked(rig):
    [bye] = of(rig.offer(0x21, path="at:s-none"), act.ReleaseCaller)
    assert not bye.confirmed
    rig.offer(0x22, path="at:s-1")
    [bye] = of(rig.released(0x22), act.ReleaseCaller)
    assert bye.confirmed
    rig.offer(0x23, path="at:s-1")
    [bye] = of(rig.list(row(1, "left")), act.ReleaseCaller)
    assert not bye.confirmed


def test_a_call_that_is_over_here_is_not_taken_for_one_that_stands_when_it_is_named_again(rig):
    standing(rig)
    rig.released()
    [bye] = of(rig.offer(conn=2, path="at:s-1"), act.ReleaseCaller)
    assert bye.conn == 2 and not rig.service.calls and not rig.peer(1).standing
