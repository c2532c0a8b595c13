"""Looks at an engine: its incarnation, and the streams that it runs."""

import trio
from expression import Error, Ok, Result

from limpetdrift.coordination.guarded_attempt import (
    EndpointProbe,
    ProbeEndpoint,
)
from limpetdrift.protocol.engine_management import EngineManagementCalls
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.verdict import Failure, Reason, may_have_run

# Shorter than the client's limit on connecting, so that a connection that
# failed within it was refused and not merely silent.
LOOK_SECONDS = 0.5
_STREAM = 'stream'


def make_probe(reports: EngineManagementCalls) -> ProbeEndpoint:
    """Return the function that asks engines over their report calls."""

    async def probe_endpoint(
        endpoint: Endpoint,
    ) -> Result[EndpointProbe, Failure]:
        with trio.move_on_after(LOOK_SECONDS):
            return await _look(reports, endpoint)
        return Error(may_have_run(Reason.TIMEOUT, endpoint.name))

    return probe_endpoint


async def _look(
    reports: EngineManagementCalls,
    endpoint: Endpoint,
) -> Result[EndpointProbe, Failure]:
    load = await reports.load(endpoint.address)
    if load.is_error():
        return Error(load.error)
    listed = await reports.allocations(endpoint.address)
    if listed.is_error():
        return Error(listed.error)
    running = [
        each for each in listed.ok if each.kind == _STREAM and not each.finished
    ]
    return Ok(
        EndpointProbe(
            incarnation=load.ok.incarnation,
            streams=len(running),
        ),
    )
