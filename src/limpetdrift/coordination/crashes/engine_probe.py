"""Probes an engine for its incarnation and its number of running streams."""

import trio
from expression import Error, Ok, Result

from limpetdrift.coordination.crashes.guarded_attempt import (
    EndpointProbe,
    ProbeEndpoint,
)
from limpetdrift.protocol.engine_management import EngineManagementCalls
from limpetdrift.protocol.node import Endpoint
from limpetdrift.verdict import Failure, Reason, may_have_run

# Probe timeout. It is shorter than the HTTP client's connect timeout, so that
# a connection that fails within it was refused, and did not just time out.
PROBE_TIMEOUT_SECONDS = 0.5
_STREAM = 'stream'


def make_probe(management: EngineManagementCalls) -> ProbeEndpoint:
    """Return a function that probes engines through their management API."""

    async def probe_endpoint(
        endpoint: Endpoint,
    ) -> Result[EndpointProbe, Failure]:
        with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
            return await _probe(management, endpoint)
        return Error(may_have_run(Reason.TIMEOUT, endpoint.name))

    return probe_endpoint


async def _probe(
    management: EngineManagementCalls,
    endpoint: Endpoint,
) -> Result[EndpointProbe, Failure]:
    load = await management.load(endpoint.address)
    if load.is_error():
        return Error(load.error)
    allocations = await management.allocations(endpoint.address)
    if allocations.is_error():
        return Error(allocations.error)
    running = [
        each
        for each in allocations.ok
        if each.kind == _STREAM and not each.finished
    ]
    return Ok(
        EndpointProbe(
            incarnation=load.ok.incarnation,
            streams=len(running),
        ),
    )
