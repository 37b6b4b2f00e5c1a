"""Who gives way in a bounded table that anyone may fill."""

from hypothesis import given, settings
from hypothesis import strategies as st

from dapplehinge.platform.shares import Shares


def test_the_newest_key_of_the_holder_with_the_most_gives_way():
    shares: Shares[int] = Shares()
    shares.add("usual", 1)
    for key in (10, 11, 12):
        shares.add("flood", key)
    assert shares.newest_of_largest() == 12
    shares.remove(12)
    shares.remove(11)
    shares.add("usual", 10)
    assert shares.newest_of_largest() == 10 and len(shares) == 2


def test_of_holders_with_the_same_share_the_last_one_gives_way():
    shares: Shares[int] = Shares()
    for holder in range(5):
        shares.add(holder, holder)
    assert shares.newest_of_largest() == 4


@settings(derandomize=True, database=None, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(["add", "remove", "move"]), st.integers(0, 3), st.integers(0, 9))))
def test_the_largest_share_is_known_after_any_changes(steps):
    shares: Shares[int] = Shares()
    holders: dict[int, int] = {}
    for what, holder, key in steps:
        match what:
            case "add":
                shares.add(holder, key, weight=key + 1)
                holders[key] = holder
            case "remove":
                shares.remove(key)
                holders.pop(key, None)
            case "move" if holder != key % 4:
                shares.move(holder, to=key % 4)
                holders = {each: key % 4 if its == holder else its for each, its in holders.items()}
        sizes = [sum(each + 1 for each, its in holders.items() if its == place) for place in range(4)]
        given_up = shares.newest_of_largest()
        assert len(shares) == len(holders) and (given_up is None) == (not holders)
        assert shares.total == sum(sizes) and all(shares.holder(each) == its for each, its in holders.items())
        assert given_up is None or sizes[holders[given_up]] == max(sizes)
