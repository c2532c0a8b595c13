"""Which entries discovery answers list, and how evenly."""

import random
from collections import Counter

import trio

from limpetdrift.client import _Discovery
from limpetdrift.coordination.membership.discovery import (
    ENTRIES_LISTED,
    make_answer,
    sample_entries,
)
from limpetdrift.protocol.codec import decode, encode
from member_cluster import Cluster, make_node, wait_for
from virtual_time import in_virtual_time


def test_sample_is_uniform_and_spread_over_failure_domains():
    # Failure domains of different sizes: 8, 2 and 5 entries.
    indices = [0, 3, 6, 9, 12, 15, 18, 21, 1, 4, 2, 5, 8, 11, 14]
    nodes = [make_node(index) for index in indices]
    randomness = random.Random(5)
    counts = Counter()
    for _ in range(6000):
        chosen = sample_entries(nodes, randomness)
        assert len({node.name for node in chosen}) == ENTRIES_LISTED
        domains = Counter(node.failure_domain for node in chosen)
        assert len(domains) >= 2
        assert max(domains.values()) <= 4
        counts.update(node.name for node in chosen)
        counts.update([f'first {chosen[0].name}'])
    share = 6000 * ENTRIES_LISTED / len(nodes)
    for node in nodes:
        assert 0.9 < counts[node.name] / share < 1.1
        first = counts[f'first {node.name}'] * ENTRIES_LISTED
        assert 0.8 < first / share < 1.2


@in_virtual_time
async def test_leaving_and_dead_entries_are_listed_only_without_live_ones():
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(6)
        await wait_for(cluster.has_converged, 30)
        members[1].leave()
        cluster.kill(2)
        await trio.sleep(15)
        body = encode(make_answer(members[0], random.Random(1)))
        answer = decode(body, _Discovery).ok
        expected = {
            str(make_node(index).caller_address) for index in (0, 3, 4, 5)
        }
        assert {entry.address for entry in answer.entries} == expected
        assert answer.max_age_seconds > 0
        for index in (0, 3, 4, 5):
            members[index].leave()
        await trio.sleep(3)
        last = make_answer(members[0], random.Random(1))
        assert len(last.entries) == 5
        nursery.cancel_scope.cancel()
