"""Tests that relayed routes and endpoints are ordered by the store's era.

Entries of a build without eras send none and are understood.
"""

from dataclasses import dataclass

from fake_network import FakeNetwork
from forward_harness import make_endpoints
from knowledge_fakes import RelayEntry
from limpetdrift.coordination.routing.routing_merge import (
    EndpointListState,
    are_routes_outdated,
    is_list_outdated,
)
from limpetdrift.coordination.routing.routing_relay import KNOWLEDGE_PATH
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.route_table import Account, RouteTable
from limpetdrift.protocol.routing_sync import (
    RoutingSyncReply,
    RoutingSyncRequest,
    digest_of,
    unpack,
)
from limpetdrift.state.route_cache import NEVER, RouteTableCache
from virtual_time import in_virtual_time


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestBefore:
    """The request of the build without eras."""

    routes_version: int
    list_version: int
    wait_seconds: float
    list_digest: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplyBefore:
    """The reply of the build without eras."""

    routes_version: int
    routes_age_seconds: float
    list_version: int
    list_age_seconds: float
    is_cut: bool
    routes: bytes | None = None
    endpoints: bytes | None = None


REQUEST = RoutingSyncRequest(
    routes_version=7,
    list_version=40,
    wait_seconds=1.0,
    routes_era=2,
    list_era=2,
)
REPLY = RoutingSyncReply(
    routes_version=7,
    routes_age_seconds=0.5,
    list_version=40,
    list_age_seconds=0.5,
    is_cut=False,
    routes_era=2,
    list_era=2,
)


def table(version, *keys):
    accounts = (Account(name='acme', keys=keys, priority=None),)
    return RouteTable(version=version, routes=(), accounts=accounts)


def make_pair():
    """Return two entries that know each other; the first is cut off."""
    network = FakeNetwork(seed=1)
    pair = []

    def nodes():
        return tuple(each.node for each in pair)

    pair.extend(RelayEntry(number, network, nodes) for number in range(2))
    pair[0].is_store_unreachable = True
    return pair


def give_list(entry, era, version, count):
    """Give an entry an endpoint list as if it was read from the store."""
    entry.store_era.learn(era, 'read')
    entry.endpoints = make_endpoints(count)
    entry.endpoint_list_state.move_to(era, version)
    entry.endpoint_list_state.digest = digest_of(entry.endpoints)
    entry.relay.notify_waiters()


def test_messages_of_builds_with_and_without_eras_are_understood_both_ways():
    assert decode(encode(REQUEST), RequestBefore).ok == RequestBefore(
        routes_version=7, list_version=40, wait_seconds=1.0
    )
    before = decode(encode(REPLY), ReplyBefore).ok
    assert (before.routes_version, before.list_version) == (7, 40)
    request = decode(
        encode(
            RequestBefore(routes_version=7, list_version=40, wait_seconds=1)
        ),
        RoutingSyncRequest,
    ).ok
    assert (request.routes_era, request.list_era) == (None, None)
    reply = decode(encode(before), RoutingSyncReply).ok
    assert (reply.routes_era, reply.list_era) == (None, None)


def test_entry_of_a_build_without_eras_is_compared_by_the_version_alone():
    routes = RouteTableCache(clock=float)
    routes.accept_newer(table(7), 0.0, 3)
    state = EndpointListState(era=3, version=40)
    older = RoutingSyncRequest(
        routes_version=6, list_version=39, wait_seconds=1.0
    )
    newer = RoutingSyncRequest(
        routes_version=7, list_version=90, wait_seconds=1.0
    )
    assert are_routes_outdated(routes, older)
    assert is_list_outdated(state, older)
    assert not are_routes_outdated(routes, newer)
    assert not is_list_outdated(state, newer)
    assert are_routes_outdated(routes, REQUEST)
    assert is_list_outdated(state, REQUEST)


@in_virtual_time
async def test_list_of_a_newer_era_replaces_one_of_a_higher_version():
    """Guards against a list that stays until the versions have caught up."""
    cut, reader = make_pair()
    give_list(cut, 1, 90, 3)
    give_list(reader, 2, 40, 2)
    await cut.relay.poll_peer()
    assert len(cut.endpoints) == 2
    assert cut.endpoint_list_state.position == (2, 40)
    assert cut.store_era.known == 2
    await reader.relay.poll_peer()
    assert len(reader.endpoints) == 2


@in_virtual_time
async def test_list_of_an_older_era_never_replaces_a_newer_one():
    cut, reader = make_pair()
    give_list(cut, 2, 40, 2)
    give_list(reader, 1, 90, 3)
    await cut.relay.poll_peer()
    assert len(cut.endpoints) == 2


@in_virtual_time
async def test_reader_takes_no_endpoint_list_from_a_peer():
    """Guards against an endpoint without a row that nothing drops there.

    The peer holds it for the grace period, since it did not see it go.
    """
    peer, reader = make_pair()
    give_list(reader, 2, 40, 2)
    give_list(peer, 2, 40, 3)
    await reader.relay.poll_peer()
    assert len(reader.endpoints) == 2
    reader.is_store_unreachable = True
    await reader.relay.poll_peer()
    assert len(reader.endpoints) == 3


@in_virtual_time
async def test_list_without_an_era_is_older_once_the_store_has_returned():
    """A reader of the build without eras doesn't notice the return."""
    cut, reader = make_pair()

    async def answer_as_before(request):
        known = decode(encode(request), RoutingSyncRequest).ok
        reply = await reader.relay.on_poll(known)
        return decode(encode(reply.ok), ReplyBefore)

    reader.peer_routes.add(KNOWLEDGE_PATH, RequestBefore, answer_as_before)
    give_list(cut, 1, 40, 2)
    give_list(reader, 1, 50, 3)
    await cut.relay.poll_peer()
    assert cut.endpoint_list_state.position == (1, 50)
    give_list(cut, 2, 45, 2)
    give_list(reader, 1, 60, 4)
    await cut.relay.poll_peer()
    assert cut.endpoint_list_state.position == (2, 45)


@in_virtual_time
async def test_version_given_out_again_with_other_content_is_relayed():
    """Also guards against a packed table of the era before."""
    cut, reader = make_pair()
    reader.read(table(7, 'old'))
    await cut.relay.poll_peer()
    assert cut.routes.find_account('old')
    reader.store_era.learn(2, 'read')
    reader.read(table(7, 'new'))
    reply = await reader.relay.on_poll(
        RoutingSyncRequest(
            routes_version=0, list_version=0, wait_seconds=0, routes_era=0
        )
    )
    assert unpack(reply.ok.routes, RouteTable).ok == table(7, 'new')
    await cut.relay.poll_peer()
    assert cut.routes.find_account('new')
    assert not cut.routes.find_account('old')
    assert cut.routes.confirmed_at > float('-inf')


@in_virtual_time
async def test_table_that_no_peer_has_confirmed_confirms_nothing():
    """Entries that start together show each other what they can't check."""
    starting, peer = make_pair()
    peer.routes.accept_newer(table(7), NEVER, 2)
    await starting.relay.poll_peer()
    assert starting.routes.version == 7
    assert starting.routes.confirmed_at == NEVER
    peer.routes.confirm(7, 0.0, 2)
    await starting.relay.poll_peer()
    assert starting.routes.age_seconds() < 5.0
