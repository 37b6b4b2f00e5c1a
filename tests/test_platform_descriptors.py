"""The share of the descriptors that callers and switches get."""

import pytest

from dapplehinge.platform.descriptors import MAX_LINKS, RESERVE, DescriptorBudget


@pytest.mark.parametrize("limit", [256, 512, 1024])
@pytest.mark.parametrize("switches", [1, 2, 6, 30, 58])
def test_many_switches_leave_callers_the_third_that_they_may_hold(limit, switches):
    budget = DescriptorBudget(limit)
    links = switches * budget.links_per_switch(switches)
    assert budget.max_callers(switches) >= limit / 3
    assert budget.max_callers(switches) + links + RESERVE <= limit


def test_few_switches_have_all_links_that_the_protocol_allows():
    assert DescriptorBudget(256).links_per_switch(6) == MAX_LINKS


def test_more_switches_than_descriptors_still_have_a_link_each():
    assert DescriptorBudget(64).links_per_switch(60) == 1
