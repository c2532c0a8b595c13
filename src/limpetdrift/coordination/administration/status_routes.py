"""Serves the operator API for status and drain, on every entry."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from limpetdrift import telemetry
from limpetdrift.coordination.administration.config_routes import operator_only
from limpetdrift.coordination.administration.quarantine_routes import (
    make_report,
)
from limpetdrift.coordination.configuration.configuration import (
    ConfigurationManager,
)
from limpetdrift.coordination.crashes.quarantine import Quarantine
from limpetdrift.coordination.homes.endpoint_directory import (
    EndpointDirectory,
    LeavingSource,
)
from limpetdrift.coordination.homes.home import HomeServer
from limpetdrift.coordination.homes.home_assignment import home_of
from limpetdrift.coordination.membership.membership import Member, Membership
from limpetdrift.protocol.codec import decode, json_response
from limpetdrift.protocol.gossip import MemberState
from limpetdrift.protocol.node import Endpoint, Node, Role
from limpetdrift.protocol.operator import (
    DRAIN_PATH,
    STATUS_PATH,
    DrainReport,
    DrainRequest,
    EndpointStatus,
    EntryStatus,
    StatusReport,
)
from limpetdrift.transport.messages import NOT_FOUND, Request, Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.verdict import Reason, not_run


@dataclass(frozen=True, kw_only=True)
class StatusInputs:
    """What status and drain need from the rest of the entry.

    ``admits`` and ``running`` describe this entry only: whether it accepts
    requests, and the number of its active runs.
    """

    node: Node
    membership: Membership
    endpoints: EndpointDirectory
    home: HomeServer
    quarantine: Quarantine
    configuration: ConfigurationManager | None
    begin_drain: Callable[[], None]
    admits: Callable[[], bool]
    running: Callable[[], int]


def add_status_routes(
    routes: Routes,
    inputs: StatusInputs,
    secret: str,
) -> None:
    """Serve status and drain to operators."""

    async def status(request: Request, parameters: Parameters) -> Response:
        return json_response(await make_status(inputs))

    async def drain(request: Request, parameters: Parameters) -> Response:
        drain_request = decode(request.body, DrainRequest)
        name = drain_request.ok.name if drain_request.is_ok() else ''
        return _drain(inputs, name)

    routes.add('GET', STATUS_PATH, operator_only(status, secret))
    routes.add('POST', DRAIN_PATH, operator_only(drain, secret))


async def make_status(inputs: StatusInputs) -> StatusReport:
    """Return the state of the whole deployment, as this entry sees it."""
    entries = inputs.membership.live_entries()
    homes = {
        endpoint.name: home_of(endpoint, entries)
        for endpoint in inputs.endpoints.endpoints()
    }
    home_names = [home.name for home in homes.values() if home]
    versions = (
        await inputs.configuration.all_versions()
        if inputs.configuration
        else ()
    )
    return StatusReport(
        entry=inputs.node.name,
        entries=tuple(
            _entry_status(inputs, member, home_names.count(member.node.name))
            for member in inputs.membership.members()
            if member.node.role is Role.ENTRY
        ),
        endpoints=tuple(
            _endpoint_status(inputs, endpoint, homes[endpoint.name])
            for endpoint in inputs.endpoints.endpoints()
        ),
        versions=versions,
        quarantine=make_report(inputs.quarantine).fingerprints,
    )


def _entry_status(
    inputs: StatusInputs,
    member: Member,
    homes: int,
) -> EntryStatus:
    node = member.node
    is_own = node.name == inputs.node.name
    admits = inputs.admits() if is_own else member.state is MemberState.LIVE
    return EntryStatus(
        name=node.name,
        address=str(node.caller_address),
        failure_domain=node.failure_domain,
        state=member.state,
        admits=admits,
        homes=homes,
    )


def _endpoint_status(
    inputs: StatusInputs,
    endpoint: Endpoint,
    home: Node | None,
) -> EndpointStatus:
    status = EndpointStatus(
        name=endpoint.name,
        address=str(endpoint.address),
        failure_domain=endpoint.failure_domain,
        state='leaving' if endpoint.leaving else 'live',
        home=home.name if home else '',
        model=endpoint.model,
        service=endpoint.service,
    )
    queue = inputs.home.queues().get(endpoint.name)
    if queue is None:
        return status
    return replace(
        status,
        queued=queue.waiting.count,
        running=len(queue.granted),
        held_tokens=queue.ledger.granted_tokens,
        memory_tokens=queue.ledger.capacity_tokens,
    )


def _drain(inputs: StatusInputs, name: str) -> Response:
    if name == inputs.node.name:
        inputs.begin_drain()
        report = DrainReport(
            name=name,
            draining=True,
            running=inputs.running(),
        )
        return json_response(report)
    if inputs.endpoints.mark_leaving(name, LeavingSource.OPERATOR):
        return json_response(DrainReport(name=name, draining=True))
    telemetry.count('refusals', reason=Reason.NOT_FOUND)
    detail = f'{name!r} is neither this entry nor a known endpoint'
    return json_response(not_run(Reason.NOT_FOUND, detail), status=NOT_FOUND)
