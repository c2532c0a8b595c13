"""Lists and tables that a peer of an earlier build relays."""

from dataclasses import dataclass

import pytest

from fake_network import FakeNetwork
from forward_harness import make_endpoints
from knowledge_fakes import RelayEntry
from limpetdrift.protocol.routing_sync import digest_of
from virtual_time import in_virtual_time


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedBefore:
    """An endpoint as a build that checks no address lists it."""

    name: str
    lifetime: int
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False
    cold_seconds: float = 0.0


def unusable(address, **changes):
    """Return an endpoint that only an earlier build lists."""
    fields = {
        'name': 'i-unusable',
        'lifetime': 1,
        'service': 's',
        'address': address,
        'failure_domain': 'd',
        'slots': 1,
    }
    return ListedBefore(**(fields | changes))


@pytest.mark.parametrize(
    'wrong',
    [
        unusable('10.0.0.9:80800'),
        unusable('10.1..9:80'),
        unusable('localhost:80'),
        unusable('10.0.0.9:80', slots=2**63),
        unusable('10.0.0.9:80', name='i-\u0142'),
        unusable('10.0.0.9:80', name='i\n1'),
    ],
)
@in_virtual_time
async def test_one_unusable_endpoint_of_a_peer_does_not_cost_the_whole_list(
    wrong,
):
    network = FakeNetwork(seed=1)
    pair = []

    def nodes():
        return tuple(each.node for each in pair)

    pair.extend(RelayEntry(number, network, nodes) for number in range(2))
    entry, reader = pair
    entry.is_store_unreachable = True
    sound = make_endpoints(3)
    reader.store_era.learn(1, 'read')
    reader.endpoints = (*sound[:1], wrong, *sound[1:])
    reader.endpoint_list_state.move_to(1, 40)
    reader.endpoint_list_state.digest = digest_of(reader.endpoints)
    await entry.relay.poll_peer()
    assert set(entry.endpoints) == set(sound)
    assert entry.endpoint_list_state.position == (1, 40)
