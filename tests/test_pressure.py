"""Bad clients at full strength beside usual callers; `python -m tests.pressure` plays all kinds."""

import pytest

from tests.pressure.clients import Kind
from tests.pressure.trial import CROWDED, LARGEST, SMALLEST, run_trial

SPAN_S = 4.0


def expect_sound(kind, limits):
    result = run_trial(kind, limits, SPAN_S)
    if faults := result.faults():
        log = "\n".join(result.log[-20:])
        pytest.fail(f"{result.summary()}\n{faults}\n{log}", pytrace=False)


@pytest.mark.parametrize("kind", [Kind.STANDING, Kind.AT_KNOWN, Kind.WITHDRAWN, Kind.UNKNOWN_EXCHANGES])
def test_one_client_at_full_speed_does_not_keep_others_from_their_answers(kind):
    expect_sound(kind, SMALLEST)


@pytest.mark.parametrize("kind", [Kind.HALF, Kind.SHORT_FIELDS, Kind.MANY_SHORT_FIELDS, Kind.WHOLE])
def test_many_clients_with_parts_of_large_messages_do_not_fill_the_smallest_memory(kind):
    expect_sound(kind, SMALLEST)


def test_hundreds_of_clients_that_write_slowly_do_not_fill_the_memory():
    expect_sound(Kind.SLOW, LARGEST)


@pytest.mark.parametrize("kind", [Kind.HALF, Kind.SMALL_OPEN])
def test_the_smallest_memory_bears_the_most_connections(kind):
    expect_sound(kind, CROWDED)
