"""Implements the commands for status, drain and quarantine."""

from limpetdrift.operators.client import OperatorClient
from limpetdrift.operators.exits import ExitCode
from limpetdrift.operators.output import Output, format_table
from limpetdrift.protocol.operator import (
    DRAIN_PATH,
    QUARANTINE_PATH,
    STATUS_PATH,
    DrainReport,
    DrainRequest,
    QuarantinedFingerprint,
    QuarantineReport,
    QuarantineRequest,
    StatusReport,
)


async def show_status(client: OperatorClient, output: Output) -> ExitCode:
    """Print the status of the deployment as one entry sees it."""
    found = await client.get(STATUS_PATH, StatusReport)
    if found.is_error():
        return output.fail(found.error)
    output.report(found.ok, _status_lines(found.ok))
    return ExitCode.DONE


async def drain(
    client: OperatorClient,
    output: Output,
    name: str,
) -> ExitCode:
    """Begin to drain an entry or endpoint, and print whether it has begun.

    An entry can be drained only through its own operator API.
    """
    request = DrainRequest(name=name)
    found = await client.post(DRAIN_PATH, request, DrainReport)
    if found.is_error():
        return output.fail(found.error)
    report = found.ok
    state = 'draining' if report.draining else 'not draining'
    output.report(report, [f'{name}: {state}, {report.running} running'])
    return ExitCode.DONE


async def list_quarantine(client: OperatorClient, output: Output) -> ExitCode:
    """Print the fingerprints whose requests are refused."""
    found = await client.get(QUARANTINE_PATH, QuarantineReport)
    if found.is_error():
        return output.fail(found.error)
    output.report(found.ok, _quarantine_lines(found.ok.fingerprints))
    return ExitCode.DONE


async def set_quarantine(
    client: OperatorClient,
    output: Output,
    request: QuarantineRequest,
) -> ExitCode:
    """Refuse a fingerprint's requests for the seconds that ``request`` names.

    Zero seconds release it. Print the fingerprints that are refused afterwards.
    """
    found = await client.post(QUARANTINE_PATH, request, QuarantineReport)
    if found.is_error():
        return output.fail(found.error)
    output.report(found.ok, _quarantine_lines(found.ok.fingerprints))
    return ExitCode.DONE


def _status_lines(report: StatusReport) -> list[str]:
    entries = format_table(
        ('entry', 'address', 'domain', 'state', 'admits', 'homes'),
        (
            (
                each.name,
                each.address,
                each.failure_domain,
                each.state,
                'yes' if each.admits else 'no',
                each.homes,
            )
            for each in report.entries
        ),
    )
    return [
        *entries,
        '',
        *_endpoint_lines(report),
        '',
        *_version_lines(report),
        '',
        *_quarantine_lines(report.quarantine),
        '',
        *_lease_lines(report),
    ]


def _endpoint_lines(report: StatusReport) -> list[str]:
    headers = (
        'endpoint',
        'serves',
        'domain',
        'state',
        'home',
        'queued',
        'running',
        'memory',
    )
    rows = (
        (
            each.name,
            each.model or each.service,
            each.failure_domain,
            each.state,
            each.home,
            each.queued,
            each.running,
            f'{each.held_tokens}/{each.memory_tokens}',
        )
        for each in report.endpoints
    )
    return format_table(headers, rows)


def _version_lines(report: StatusReport) -> list[str]:
    rows = (
        (entry.entry, site.site, site.base, site.overlay)
        for entry in report.versions
        for site in entry.sites
    )
    return format_table(('entry', 'site', 'base', 'overlay'), rows)


def _quarantine_lines(
    fingerprints: tuple[QuarantinedFingerprint, ...],
) -> list[str]:
    headers = ('fingerprint', 'account', 'crashes', 'seconds left')
    rows = (
        (
            each.fingerprint,
            each.account,
            each.crashes,
            round(each.expires_in_seconds),
        )
        for each in fingerprints
    )
    return format_table(headers, rows)


def _lease_lines(report: StatusReport) -> list[str]:
    rows = (
        (
            each.group,
            each.holder,
            each.fencing,
            round(each.expires_in_seconds, 1),
        )
        for each in report.leases
    )
    return format_table(('lease', 'holder', 'fencing', 'seconds left'), rows)
