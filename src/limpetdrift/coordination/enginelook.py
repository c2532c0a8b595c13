"""Looks at an engine: its incarnation, and the streams that it runs."""

import trio
from expression import Error, Ok, Result

from limpetdrift.coordination.trials import EndpointLook, LookAt
from limpetdrift.protocol.enginereports import EngineReports
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.verdict import Failure, Reason, may_have_run

# Shorter than the client's limit on connecting, so that a connection that
# failed within it was refused and not merely silent.
LOOK_SECONDS = 0.5
_STREAM = 'stream'


def make_look_at(reports: EngineReports) -> LookAt:
    """Return the function that asks engines over their report calls."""

    async def look_at(endpoint: Endpoint) -> Result[EndpointLook, Failure]:
        with trio.move_on_after(LOOK_SECONDS):
            return await _look(reports, endpoint)
        return Error(may_have_run(Reason.TIMEOUT, endpoint.name))

    return look_at


async def _look(
    reports: EngineReports,
    endpoint: Endpoint,
) -> Result[EndpointLook, Failure]:
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
        EndpointLook(
            incarnation=load.ok.incarnation,
            streams=len(running),
        ),
    )
