"""The load plan: seeded arrivals with the rates it names, holding times with their mean, errors by place."""

import numpy as np
import pytest

from dapplehinge.config.source import ConfigError
from dapplehinge.load.plan import Hold, LoadPart, arrivals, generator, hold_times, ramp_times, read_plan
from tests.test_config import QUAY

CLASS = {"name": "a", "share": 1, "numbers": ["100"], "target": 1000, "give_up": 4000}


def plan(*phases, **more):
    return LoadPart.model_validate({"to": "127.0.0.1:1", "classes": [CLASS], "phases": phases} | more)


@pytest.mark.parametrize(("begin", "end"), [(50, 50), (0, 100), (100, 0), (20, 80)])
def test_a_ramp_has_its_mean_rate_and_its_shape(begin, end):
    times = ramp_times(100_000, begin, end, np.random.default_rng(1))
    assert len(times) == pytest.approx(5000, rel=0.06) and np.all(np.diff(times) >= 0)
    assert times[0] >= 0 and times[-1] <= 100_000
    quarter = 25.0 * (begin + (end - begin) / 8)
    assert np.sum(times < 25_000) == pytest.approx(quarter, rel=0.15, abs=30)


def test_arrivals_are_the_same_for_a_seed_and_differ_between_seeds():
    phases = ({"kind": "ramp", "span": 5000, "from": 10, "to": 40}, {"kind": "pause", "span": 1000},
              {"kind": "bell", "span": 1000})  # fmt: skip
    one, same = arrivals(plan(*phases, handsets=50)), arrivals(plan(*phases, handsets=50))
    assert one == same != arrivals(plan(*phases, handsets=50, seed=2))
    bells = [each for each in one if each.phase == 2]
    assert len(bells) == 50 and {each.at for each in bells} == {6000.0}


@pytest.mark.parametrize("kind", ["fixed", "exponential", "lognormal"])
def test_holding_times_have_the_mean_that_the_plan_names(kind):
    hold = Hold(kind=kind, mean=3000, spread=0.5)
    times = hold_times(hold, 20_000, generator(plan({"kind": "pause", "span": 1}), 2))
    assert times.mean() == pytest.approx(3000, rel=0.03) and times.min() >= 0


def test_the_example_is_good_and_errors_name_their_place(tmp_path):
    example = QUAY.parent / "load.json5"
    assert read_plan(example).handsets == 30
    bad = tmp_path / "bad.json5"
    bad.write_text(example.read_text().replace("share: 0.8", "share: 0").replace('"ramp"', '"slope"'))
    with pytest.raises(ConfigError) as caught:
        read_plan(bad)
    assert len(caught.value.problems) == 2
    assert "bad.json5:7: classes[0].share" in caught.value.problems[0]
    assert "bad.json5:14: phases[0].kind" in caught.value.problems[1]
