"""Settings: every error named by file, line and path, all at once; the command line's exit codes."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from dapplehinge.cli.main import main
from dapplehinge.config.load import build, load
from dapplehinge.config.source import ConfigError, Source

QUAY = Path(__file__).parent.parent / "examples" / "quay.json5"


def problems(*swaps):
    text = QUAY.read_text()
    for old, new in swaps:
        assert old in text
        text = text.replace(old, new)
    with pytest.raises(ConfigError) as caught:
        build(Source("quay.json5", text), QUAY.parent)
    return caught.value.problems


def test_the_example_is_good():
    box = load(QUAY)
    assert box.listen == ("127.0.0.1", 4569) and [g.circuits for g in box.network.groups] == [30, 10]
    assert box.network.settings.proxies == 1 and box.credentials["bidder"].secret == "harbour-bell"


@pytest.mark.parametrize(
    ("swap", "line", "words"),
    [
        (('"127.0.0.1:4569"', '"quay:4569"'), 4, ["listen", "IP address", "quay:4569"]),
        (("target: 1200", "target: -2"), 22, ["classes[1].target", "greater than 0", "-2"]),
        (('exchange: "hall"', 'exchange: "hal"'), 34, ["dial_plan[0].exchange", "'hal'", "quay, hall"]),
        (("give_up: 6000", "give_up: 150"), 22, ["classes[1].give_up", "200", "150"]),
        (('secret: "harbour-bell", ', ""), 29, ["accounts.bidder", "secret"]),
        (('secret: "harbour-bell"', 'secret_file: "none"'), 29, ["accounts.bidder.secret_file", "none"]),
        (('{ to: "annex"', '{ to: "hall"'), 17, ["trunk_groups[1].to", "second group"]),
        (('prefix: "2"', 'prefix: "1"'), 35, ["dial_plan[1].prefix", "twice"]),
        (('["127.0.0.0/8"]', '["127.0.0.0/99"]'), 6, ["zones.loopback[0]", "127.0.0.0/99"]),
        (("box:", "bx:"), 3, ["bx", "not permitted"]),
    ],
)
def test_an_error_names_line_path_and_what_was_found(swap, line, words):
    found = problems(swap)
    named = [p for p in found if all(word in p for word in words)]
    assert named, found
    assert any(f"quay.json5:{line}: " in p for p in named), found


def test_all_errors_at_once():
    found = problems(('{ to: "hall"', '{ to: "hal"'), ('class: "lot-price", tenant', 'class: "lots", tenant'))
    assert len(found) == 2


def test_what_is_no_json5_is_said_so():
    with pytest.raises(ConfigError, match="x.json5: not JSON5"):
        Source("x.json5", "{a: }")


def test_check_config_and_its_exit_codes(tmp_path):
    runner = CliRunner()
    good = runner.invoke(main, ["check-config", str(QUAY)])
    assert good.exit_code == 0 and "good" in good.output
    bad = tmp_path / "bad.json5"
    bad.write_text(QUAY.read_text().replace("circuits: 30", "circuits: -1"))
    wrong = runner.invoke(main, ["check-config", str(bad)])
    assert wrong.exit_code == 2 and "trunk_groups[0].circuits" in wrong.output
    assert runner.invoke(main, ["check-config", "nowhere.json5"]).exit_code == 2
    assert runner.invoke(main, ["trial", "no-such-day"]).exit_code == 2
    not_a_trace = runner.invoke(main, ["audit", str(bad)])
    assert not_a_trace.exit_code == 2
    for command in ([], ["run"], ["check-config"], ["trial"], ["audit"], ["standin"]):
        assert runner.invoke(main, [*command, "--help"]).exit_code == 0
