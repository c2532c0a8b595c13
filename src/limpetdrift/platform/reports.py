"""Reads the reports of engines on their load."""

import msgspec
from expression import Error, Ok, Result

from limpetdrift.coordination.endpoints.endpoint_gate import EndpointGate
from limpetdrift.coordination.planning.engine_report_poller import ReadReport
from limpetdrift.logs import warn
from limpetdrift.platform.endpoint_signals import decode_signals
from limpetdrift.protocol.bounded import Pace, RequestCount, TokenCount
from limpetdrift.protocol.codec import decode_json
from limpetdrift.protocol.work import EngineReport, ListedEndpoint
from limpetdrift.state.seen_faults import MAX_REASON_LENGTH, SeenFaults
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import OK, Request, Response, parse_address
from limpetdrift.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)

REPORT_TIMEOUT_SECONDS = 0.5
REPORT_PATH = '/-/report'


class _Report(msgspec.Struct, kw_only=True):
    # Requests that run, and requests that wait.
    active: RequestCount = 0
    queued: RequestCount = 0
    # Memory that can't be evicted, in tokens.
    used: TokenCount = msgspec.field(default=0, name='kvUsed')
    # Factor by which the engine is slower than usual.
    pace: Pace = 1.0
    # Start time of the process, in Unix milliseconds.
    born: int | None = None


def make_report_reader(client: HttpClient, gate: EndpointGate) -> ReadReport:
    """Return the function that reads an engine's report.

    It fails without a call while ``gate`` is closed to the engine.
    """
    lifetimes: dict[str, int] = {}
    faults = SeenFaults()

    async def read(engine: ListedEndpoint) -> Result[EngineReport, Failure]:
        refusal = gate.check_call(engine)
        if refusal is not None:
            return Error(refusal)
        if not gate.may_poll(engine):
            return Error(
                not_run(Reason.ENDPOINT_UNAVAILABLE, 'limits its rate')
            )
        address = parse_address(engine.address)
        if lifetimes.get(engine.address) != engine.lifetime:
            # A pooled connection may lead to an earlier lifetime.
            client.drop_idle_connections(address)
            lifetimes[engine.address] = engine.lifetime
        result = await client.fetch(
            address,
            Request(method='GET', path=REPORT_PATH),
            timeout_seconds=REPORT_TIMEOUT_SECONDS,
        )
        return result.bind(lambda response: decode_answer(response, engine))

    def decode_answer(
        response: Response, engine: ListedEndpoint
    ) -> Result[EngineReport, Failure]:
        report = Error(_bad_report(f'status {response.status}'))
        if response.status == OK:
            report = decode_report(response.body, engine)
            _log_fault(faults, engine, report)
        if report.is_ok() or response.status != OK:
            gate.apply_signals(
                engine,
                decode_signals(engine, response.status, response.headers),
            )
        return report

    return read


def decode_report(
    payload: bytes,
    engine: ListedEndpoint,
) -> Result[EngineReport, Failure]:
    """Decode a report; one of another lifetime is an error.

    >>> engine = ListedEndpoint(
    ...     name='i-1', lifetime=0, service='s', address='127.0.0.1:1',
    ...     failure_domain='d', slots=8,
    ... )
    >>> decode_report(b'{"active": 2}', engine).ok.active
    2
    """
    decoded = decode_json(payload, _Report)
    if decoded.is_error():
        return Error(_bad_report(decoded.error))
    report = decoded.ok
    if report.born is not None and report.born != engine.lifetime:
        return Error(_bad_report('report of another lifetime'))
    return Ok(
        EngineReport(
            active=report.active,
            queued=report.queued,
            memory_tokens=report.used,
            pace=report.pace,
        ),
    )


def _log_fault(
    faults: SeenFaults,
    engine: ListedEndpoint,
    report: Result[EngineReport, Failure],
) -> None:
    """Log a report that can't be read once, until one is read."""
    if report.is_ok():
        faults.forget(engine.name)
    elif faults.is_new(engine.name, report.error.detail):
        warn(
            'report of an engine can not be read',
            endpoint=engine.name,
            detail=report.error.detail[:MAX_REASON_LENGTH],
        )


def _bad_report(detail: str) -> Failure:
    return may_have_run(Reason.BAD_ANSWER, detail)
