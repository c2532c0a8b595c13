"""Errors of our own in an attempt, and whether another endpoint is tried."""

from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from forward_harness import make_route, whole_response
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.protocol.work import DispatchPlan
from test_forwarding import make_harness, serve


def fail_once(harness, name):
    """Let one input of the forwarder raise an error when it is first used."""
    forwarder = harness.forwarder
    use = getattr(forwarder._inputs, name)
    failed = []

    @asynccontextmanager
    async def raise_first(*arguments):
        if not failed:
            plans = [
                each for each in arguments if isinstance(each, DispatchPlan)
            ]
            failed.append(plans[0].endpoint.name)
            raise OverflowError('an error of our own')
        async with use(*arguments) as used:
            yield used

    forwarder._inputs = replace(forwarder._inputs, **{name: raise_first})
    return failed


@pytest.mark.parametrize(
    ('name', 'kind', 'status'),
    [
        ('reserve_memory', RequestKind.IDEMPOTENT, 200),
        ('reserve_memory', RequestKind.NON_IDEMPOTENT, 200),
        ('send', RequestKind.IDEMPOTENT, 200),
        ('send', RequestKind.NON_IDEMPOTENT, 502),
    ],
)
def test_error_at_one_endpoint_leaves_the_request_to_another(
    name, kind, status
):
    """Guards against a caller who gets 502 though an endpoint stands there."""
    harness = make_harness(whole_response(200))
    failed = fail_once(harness, name)
    route = make_route(kind=kind, timeout_seconds=1.0, attempt_limit=2)
    exchange, _ = serve(harness, route)
    assert exchange.response.status == status
    sent = {each.endpoint for each in harness.sent}
    assert len(sent) == int(status == 200)
    assert not sent.intersection(failed)
