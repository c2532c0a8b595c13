"""Errors of our own in the probes of the links to endpoints."""

import random

import pytest
import trio

from forward_harness import make_endpoints
from limpetdrift.coordination.membership.link_monitor import LinkMonitor
from limpetdrift.coordination.membership.link_probes import (
    PROBE_INTERVAL_SECONDS,
)
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.verdict import Reason
from virtual_time import in_virtual_time


async def watch(probe):
    """Return a monitor that probes after a failure, and a service's name."""
    view = EndpointView(clock=trio.current_time)
    endpoints = make_endpoints(3)
    view.replace(endpoints)
    monitor = LinkMonitor(view=view, probe=probe, randomness=random.Random(1))
    service = endpoints[0].service
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        await trio.sleep(1)
        monitor.record_failure(endpoints[0], Reason.CONNECT_FAILED)
        with trio.fail_after(5):
            await monitor.settle(service)
        await trio.sleep(3 * PROBE_INTERVAL_SECONDS)
        is_cut = monitor.is_cut(service)
        nursery.cancel_scope.cancel()
    return is_cut


@in_virtual_time
async def test_errors_of_all_probes_do_not_show_a_cut_link():
    async def probe(endpoint):
        raise OverflowError('an error of our own')

    assert not await watch(probe)


@pytest.mark.parametrize('name', ['i-0', 'i-1', 'i-2'])
@in_virtual_time
async def test_error_of_one_probe_does_not_hide_a_cut_link(name):
    async def probe(endpoint):
        if endpoint.name == name:
            raise OverflowError('an error of our own')
        return False

    assert await watch(probe)
