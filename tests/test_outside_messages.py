"""Tests that messages of peers and the configuration have bounded numbers.

A number beyond all bounds overflows where it is used, and one entry must not
send what the others reject.
"""

import json
import random
from collections.abc import Iterator
from copy import deepcopy
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corpus.make import make
from forward_harness import make_endpoints
from limpetdrift.coordination.engines.prompt_splitting import choose_split
from limpetdrift.coordination.planning.plan_requests import make_dispatch_plan
from limpetdrift.platform.admission import admit
from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.platform.endpoint_signals import decode_signals
from limpetdrift.platform.failure_responses import make_failure_renderer
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.compatibility import EXCHANGED
from limpetdrift.protocol.gossip import MemberRecord
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import (
    EndpointId,
    Plan,
    PlanRequest,
    ReservedTokens,
)
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.protocol.routing_sync import pack, unpack
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_limits import UNLIMITED
from limpetdrift.state.engine_ledger import EngineLedger
from limpetdrift.state.records import BUCKETS, RecordTable
from limpetdrift.verdict import Failure, Reason
from test_platform_decoders import (
    DOCUMENT,
    ENGINE,
    make_admission,
    make_request,
)
from test_splitting import ENGINES
from test_splitting import make_request as make_plan_request

KINDS = sorted((*EXCHANGED, ListedEndpoint), key=lambda kind: kind.__name__)
NUMBERS = (msgspec.inspect.IntType, msgspec.inspect.FloatType)
# Compared only, and hashes of 64 bits are larger than a bound can be.
HASHES = {
    'GossipMessage.member_hash',
    'GossipMessage.endpoint_hash',
    'SyncRequest.member_buckets',
    'SyncRequest.endpoint_buckets',
    'SyncReply.member_buckets',
    'SyncReply.endpoint_buckets',
    'RoutingSyncRequest.list_digest',
    'CrashDigest.cut',
    'LimitsDigest.limits',
    'LinkDigest.records',
}
# Checked by the address itself.
PORT = 'Address.port'
EXTREME = st.sampled_from(
    [
        0,
        -1,
        10**15,
        2**62,
        2**64,
        -(2**64),
        10**310,
        1e300,
        -1e300,
        1e308,
        1e-300,
    ]
)


def numbers_of(
    kind: msgspec.inspect.Type, name: str
) -> Iterator[tuple[str, msgspec.inspect.Type]]:
    """Yield the fields of a type that are numbers, and their types."""
    if isinstance(kind, NUMBERS):
        yield name, kind
    elif isinstance(kind, msgspec.inspect.VarTupleType):
        yield from numbers_of(kind.item_type, name)
    elif isinstance(kind, msgspec.inspect.DataclassType):
        holder = kind.cls.__name__
        for field in kind.fields:
            yield from numbers_of(field.type, f'{holder}.{field.name}')
    else:
        parts = getattr(kind, 'types', getattr(kind, 'item_types', ()))
        for part in parts:
            yield from numbers_of(part, name)


def is_bounded(kind: msgspec.inspect.Type) -> bool:
    """Return whether a type has a lowest and a highest number."""
    return kind.le is not None and {kind.ge, kind.gt} != {None}


def make_member(number: int) -> MemberRecord:
    sample = make(MemberRecord, is_whole=True)
    return replace(sample, node=replace(sample.node, name=f'e{number}'))


def replace_number(body: object, choose: random.Random, number: object) -> None:
    """Replace one number somewhere in a body."""
    places = list(find_numbers(body))
    if places:
        holder, key = choose.choice(places)
        holder[key] = number


def find_numbers(body: object) -> Iterator[tuple[object, object]]:
    """Yield each holder of a number, and where the number is in it."""
    pairs = body.items() if isinstance(body, dict) else enumerate(body)
    for key, content in pairs:
        if isinstance(content, (dict, list)):
            yield from find_numbers(content)
        elif isinstance(content, (int, float)) and content is not True:
            yield body, key


# Guards against a number that overflows in the handler of a peer's call.
@pytest.mark.parametrize('kind', KINDS, ids=lambda kind: kind.__name__)
def test_each_number_in_a_message_has_bounds(kind):
    found = numbers_of(msgspec.inspect.type_info(kind), '')
    unbounded = {name for name, each in found if not is_bounded(each)}
    assert unbounded <= HASHES | {PORT}


@given(
    kind=st.sampled_from(KINDS),
    number=EXTREME,
    choose=st.randoms(use_true_random=False),
)
@settings(max_examples=400)
def test_message_with_any_number_is_read_and_sent_alike_or_rejected(
    kind, number, choose
):
    body = json.loads(encode(make(kind, is_whole=True)))
    replace_number(body, choose, number)
    decoded = decode(json.dumps(body).encode(), kind)
    if decoded.is_error():
        assert decoded.error.reason is Reason.BAD_REQUEST
        return
    again = decode(encode(decoded.ok), kind)
    assert again.ok == decoded.ok


# Guards against a peer's age that lets withdrawn keys work for good.
@pytest.mark.parametrize(
    ('field', 'number'),
    [
        ('routes_age_seconds', -1e9),
        ('routes_era', 10**18),
        ('list_age_seconds', -1),
    ],
)
def test_reply_of_a_peer_from_the_future_is_rejected(field, number):
    kind = next(each for each in KINDS if each.__name__ == 'RoutingSyncReply')
    body = json.loads(encode(make(kind, is_whole=True))) | {field: number}
    decoded = decode(json.dumps(body).encode(), kind)
    assert field in decoded.error.detail


@given(number=EXTREME)
def test_failure_of_a_peer_is_answered_to_the_caller(number):
    body = {
        'verdict': 'not-run',
        'reason': 'overloaded',
        'retry_after_seconds': number,
    }
    decoded = decode(json.dumps(body).encode(), Failure)
    if decoded.is_ok():
        render = make_failure_renderer(random.Random(1))
        assert render(decoded.ok).status == 503


ENGINE_FIGURES = {
    'slots': 8,
    'kvCapacity': 90_000,
    'stride': 51,
    'step_ms': 0.85,
    'per_seq_ms': 0.01,
    'context_per_k': 0.003,
    'read_per_s': 177_000,
    'pairs_per_m': 0.2,
    'chunk': 2048,
    'usual': {'answer': 300},
}


# Guards against a figure of the configuration that fails each prompt's plan.
@given(number=EXTREME, choose=st.randoms(use_true_random=False))
@settings(max_examples=300)
def test_configuration_with_any_number_is_planned_by_and_relayed(
    number, choose
):
    document = deepcopy(DOCUMENT)
    document['services'] = [{'name': 's', 'engine': ENGINE_FIGURES}]
    document = json.loads(json.dumps(document))
    replace_number(document, choose, number)
    decoded = decode_route_table(json.dumps(document).encode())
    if decoded.is_error():
        return
    table = decoded.ok
    assert unpack(pack(table), RouteTable).ok == table
    usages = EngineLedger(clock=float).usages(ENGINES)
    for route in table.routes:
        request = make_plan_request(
            60_000,
            target_seconds=route.target_seconds,
            pause_seconds=route.pause_seconds,
            patience_seconds=route.patience_seconds,
        )
        assert decode(encode(request), PlanRequest).ok == request
        choose_split(request, usages, table.services[0].engine)


def test_prompt_size_that_no_planner_takes_is_no_size():
    request = make_request(token_usage='999999999999999,1')
    assert admit(request, make_admission()).ok.size is None


def test_rate_limit_that_no_peer_takes_is_none():
    headers = (('server-limit', '1e300'),)
    assert decode_signals(ENGINE, 200, headers).rate_limit == UNLIMITED


# Guards against a peer of a build with more buckets, whose call failed.
@pytest.mark.parametrize('count', [0, BUCKETS - 1, BUCKETS + 1])
def test_peer_with_another_number_of_buckets_gets_those_that_both_have(count):
    table = RecordTable(
        join=lambda one, other: other, hashed=lambda record: True
    )
    for record in map(make_member, range(100)):
        table.merge(record)
    buckets, records = table.differing((1,) * count, limit_bytes=10**6)
    assert buckets == tuple(range(min(count, BUCKETS)))
    assert bool(records) is bool(count)


@pytest.mark.parametrize(
    ('name', 'field'),
    [
        ('RoutingSyncRequest', 'wait_seconds'),
        ('Plan', 'delay_seconds'),
        ('IsolationRequest', 'seconds'),
    ],
)
def test_time_to_wait_in_a_message_is_not_negative(name, field):
    kind = next(each for each in KINDS if each.__name__ == name)
    body = json.loads(encode(make(kind, is_whole=True))) | {field: -1}
    decoded = decode(json.dumps(body).encode(), kind)
    assert field in decoded.error.detail


def test_plan_that_reserves_at_an_engine_without_a_part_is_rejected():
    """Guards against a peer's plan that fails after it was begun."""
    writer, helper, other = make_endpoints(3)
    first, second, third = (
        EndpointId(name=each.name, lifetime=each.lifetime)
        for each in (writer, helper, other)
    )
    tokens = (ReservedTokens(endpoint=second, tokens=5),)
    plan = Plan(grant='g', writer=first, helpers=(second,), reserved=tokens)
    assert decode(encode(plan), Plan).ok == plan
    assert make_dispatch_plan(plan, writer, [helper], 0).reserved
    spoiled = encode(plan).replace(
        encode(tokens), encode((replace(tokens[0], endpoint=third),))
    )
    assert 'has no part' in decode(spoiled, Plan).error.detail


@pytest.mark.parametrize('field', ['caller_address', 'peer_address'])
def test_node_without_a_port_is_rejected(field):
    """Guards against a peer that fails each call to it with an error."""
    node = make(Node, is_whole=True)
    address = getattr(node, field)
    payload = encode(node).replace(
        encode(address), encode(address).replace(b'%d' % address.port, b'0')
    )
    assert 'expected a port' in decode(payload, Node).error.detail
