"""The operator API for refused fingerprints; it is served by every entry."""

from limpetdrift import telemetry
from limpetdrift.coordination.administration.config_routes import operator_only
from limpetdrift.coordination.crashes.quarantine import Quarantine
from limpetdrift.protocol.codec import decode, json_response
from limpetdrift.protocol.operator import (
    QUARANTINE_PATH,
    QuarantinedFingerprint,
    QuarantineReport,
    QuarantineRequest,
)
from limpetdrift.protocol.quarantine import QuarantineState
from limpetdrift.transport.messages import Request, Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.verdict import Reason, not_run

_BAD_REQUEST = 400
_REFUSED = frozenset((QuarantineState.REFUSED,))


def add_quarantine_routes(
    routes: Routes,
    quarantine: Quarantine,
    secret: str,
) -> None:
    """Add routes that list, refuse and release fingerprints.

    The routes demand the operator's ``secret`` and answer with all refusals.
    """

    async def show(request: Request, parameters: Parameters) -> Response:
        return json_response(make_report(quarantine))

    async def apply_change(
        request: Request, parameters: Parameters
    ) -> Response:
        decoded = decode(request.body, QuarantineRequest)
        if decoded.is_error() or not decoded.ok.fingerprint:
            telemetry.count('refusals', reason=Reason.BAD_REQUEST)
            message = not_run(Reason.BAD_REQUEST, 'a fingerprint is needed')
            return json_response(message, status=_BAD_REQUEST)
        change = decoded.ok
        quarantine.set_refusal(
            change.fingerprint, change.account, change.seconds
        )
        return json_response(make_report(quarantine))

    routes.add('GET', QUARANTINE_PATH, operator_only(show, secret))
    routes.add('POST', QUARANTINE_PATH, operator_only(apply_change, secret))


def make_report(quarantine: Quarantine) -> QuarantineReport:
    """Return the fingerprints that this entry refuses."""
    return QuarantineReport(
        fingerprints=tuple(
            QuarantinedFingerprint(
                fingerprint=record.fingerprint,
                account=record.account,
                crashes=record.crashes,
                expires_in_seconds=record.seconds,
            )
            for record in quarantine.suspects.records_in(_REFUSED)
        ),
    )
