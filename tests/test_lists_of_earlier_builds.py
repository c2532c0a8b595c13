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


def make_reader_and_entry(listed):
    """Return an entry without the store, and a reader with a list."""
    network = FakeNetwork(seed=1)
    pair = []

    def nodes():
        return tuple(each.node for each in pair)

    pair.extend(RelayEntry(number, network, nodes) for number in range(2))
    entry, reader = pair
    entry.is_store_unreachable = True
    reader.store_era.learn(1, 'read')
    reader.endpoints = listed
    reader.endpoint_list_state.move_to(1, 40)
    reader.endpoint_list_state.digest = digest_of(listed)
    return entry


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
    sound = make_endpoints(3)
    entry = make_reader_and_entry((*sound[:1], wrong, *sound[1:]))
    await entry.relay.poll_peer()
    assert set(entry.endpoints) == set(sound)
    assert entry.endpoint_list_state.position == (1, 40)


@in_virtual_time
async def test_fault_of_a_peers_list_is_logged_once(caplog):
    wrong = unusable('10.0.0.9:80800')
    entry = make_reader_and_entry((*make_endpoints(2), wrong))
    for _ in range(5):
        await entry.relay.poll_peer()
    lines = [each for each in caplog.messages if 'list of a peer' in each]
    assert len(lines) == 1
