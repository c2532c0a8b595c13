"""Errors of our own in an attempt, and whether another endpoint is tried."""

from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from forward_harness import make_endpoints, make_route, whole_response
from limpetdrift.coordination.planning.plan_requests import make_dispatch_plan
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import EndpointId, Plan, ReservedTokens
from limpetdrift.protocol.route_table import RequestKind
from test_forwarding import make_harness, serve
from test_outside_messages import make

PORTS = ('caller_address', 'peer_address')


def fail_once(harness):
    """Let the harness raise an error as it sends a request first."""
    send = harness._send
    failed = []

    @asynccontextmanager
    async def raise_first(work, placement, *arguments):
        if not failed:
            failed.append(placement.endpoint.name)
            raise OverflowError('an error of our own')
        async with send(work, placement, *arguments) as answer:
            yield answer

    forwarder = harness.forwarder
    forwarder._inputs = replace(forwarder._inputs, send=raise_first)
    return failed


def fail_to_reserve_once(harness):
    """Let the harness raise an error before it sends a request first."""
    reserve = harness.forwarder._inputs.reserve_memory
    failed = []

    @asynccontextmanager
    async def raise_first(placement):
        if not failed:
            failed.append(placement.endpoint.name)
            raise OverflowError('an error of our own')
        async with reserve(placement) as reserved:
            yield reserved

    forwarder = harness.forwarder
    forwarder._inputs = replace(forwarder._inputs, reserve_memory=raise_first)
    return failed


@pytest.mark.parametrize(
    ('fail', 'kind', 'status'),
    [
        (fail_to_reserve_once, RequestKind.IDEMPOTENT, 200),
        (fail_to_reserve_once, RequestKind.NON_IDEMPOTENT, 200),
        (fail_once, RequestKind.IDEMPOTENT, 200),
        (fail_once, RequestKind.NON_IDEMPOTENT, 502),
    ],
)
def test_error_at_one_endpoint_leaves_the_request_to_another(
    fail, kind, status
):
    """Guards against a caller who gets 502 though an endpoint stands there."""
    harness = make_harness(whole_response(200))
    failed = fail(harness)
    route = make_route(kind=kind, timeout_seconds=1.0, attempt_limit=2)
    exchange, _ = serve(harness, route)
    assert exchange.response.status == status
    sent = {each.endpoint for each in harness.sent}
    assert len(sent) == int(status == 200)
    assert not sent.intersection(failed)


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


@pytest.mark.parametrize('field', PORTS)
def test_node_without_a_port_is_rejected(field):
    """Guards against a peer that fails each call to it with an error."""
    node = make(Node, is_whole=True)
    address = getattr(node, field)
    payload = encode(node).replace(
        encode(address), encode(address).replace(b'%d' % address.port, b'0')
    )
    assert 'expected a port' in decode(payload, Node).error.detail
