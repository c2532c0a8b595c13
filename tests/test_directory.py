"""Tests of the directory answers that callers get on the platform."""

from random import Random

from limpetdrift.platform.directory import MAX_ADDRESSES, choose_entries
from limpetdrift.protocol.node import Node
from member_cluster import make_node

FLEET_SIZE = 300
LOOK_UPS = 60


def make_fleet(size: int) -> tuple[Node, ...]:
    return tuple(map(make_node, range(size)))


def test_all_entries_of_a_large_domain_are_listed_in_turn():
    """Guards against callers that all connect to the same 64 entries."""
    fleet = make_fleet(FLEET_SIZE)
    domain = fleet[0].failure_domain
    local = {each.name for each in fleet if each.failure_domain == domain}
    assert len(local) > MAX_ADDRESSES
    randomness = Random(1)
    listed: set[str] = set()
    for _ in range(LOOK_UPS):
        chosen = choose_entries(fleet, domain, randomness)
        assert len(chosen) == MAX_ADDRESSES
        listed.update(each.name for each in chosen)
    assert listed == local


def test_caller_gets_entries_of_its_own_domain_only():
    fleet = make_fleet(9)
    domain = fleet[0].failure_domain
    chosen = choose_entries(fleet, domain, Random(1))
    assert {each.failure_domain for each in chosen} == {domain}
    assert len(choose_entries(fleet, 'elsewhere', Random(1))) == len(fleet)
