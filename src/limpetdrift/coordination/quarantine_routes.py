"""The operator API for fingerprints that are refused, on every entry."""

from limpetdrift import telemetry
from limpetdrift.coordination.config_routes import operator_only
from limpetdrift.coordination.quarantine import Quarantine
from limpetdrift.protocol.codec import decode, json_response
from limpetdrift.protocol.operator import (
    QUARANTINE_PATH,
    QuarantinedFingerprint,
    QuarantineReport,
    QuarantineRequest,
)
from limpetdrift.protocol.quarantine import QuarantineState
from limpetdrift.protocol.verdict import Reason, not_run
from limpetdrift.transport.messages import Request, Response
from limpetdrift.transport.routing import Parameters, Routes

_BAD_REQUEST = 400
_REFUSED = frozenset((QuarantineState.REFUSED,))


def add_quarantine_routes(
    routes: Routes,
    quarantine: Quarantine,
    secret: str,
) -> None:
    """List, add and remove refused fingerprints for operators."""

    async def show(request: Request, parameters: Parameters) -> Response:
        return json_response(make_report(quarantine))

    async def change(request: Request, parameters: Parameters) -> Response:
        asked = decode(request.body, QuarantineRequest)
        if asked.is_error() or not asked.ok.fingerprint:
            telemetry.count('refusals', reason=Reason.BAD_REQUEST)
            message = not_run(Reason.BAD_REQUEST, 'a fingerprint is needed')
            return json_response(message, status=_BAD_REQUEST)
        order = asked.ok
        quarantine.set_refusal(order.fingerprint, order.account, order.seconds)
        return json_response(make_report(quarantine))

    routes.add('GET', QUARANTINE_PATH, operator_only(show, secret))
    routes.add('POST', QUARANTINE_PATH, operator_only(change, secret))


def make_report(quarantine: Quarantine) -> QuarantineReport:
    """Return the fingerprints that are refused here."""
    return QuarantineReport(
        fingerprints=tuple(
            QuarantinedFingerprint(
                fingerprint=news.fingerprint,
                account=news.account,
                crashes=news.crashes,
                expires_in_seconds=news.seconds,
            )
            for news in quarantine.suspects.records_in(_REFUSED)
        ),
    )
