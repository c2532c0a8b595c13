"""Reads from an endpoint whether it is leaving, and its incarnation.

Engines and plain services report this at different paths (docs/PLATFORM.md),
together with other fields that are ignored here.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from expression import Error, Result

from limpetdrift.protocol.codec import decode, json_request
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.protocol.table_client import read_refusal
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import OK, Response
from limpetdrift.verdict import Failure

REPORT_TIMEOUT_SECONDS = 1.0
_ENGINE_PATH = '/v1/load'
_SERVICE_PATH = '/load'


@dataclass(frozen=True, kw_only=True, slots=True)
class LifecycleReport:
    """An endpoint's own report; incarnation 0 means unknown.

    It was taken ``taken_seconds_ago``, when the incarnation had been running
    for ``uptime_seconds``, which is ``None`` if the endpoint doesn't report it.
    """

    leaving: bool = False
    incarnation: int = 0
    uptime_seconds: float | None = None
    taken_seconds_ago: float = 0.0

    def has_started_within(self, seconds: float) -> bool:
        """Return whether the incarnation is known to be younger than this."""
        if self.uptime_seconds is None:
            return False
        return self.uptime_seconds + self.taken_seconds_ago < seconds


ReadReport = Callable[[Endpoint], Awaitable[Result[LifecycleReport, Failure]]]


def make_report_call(client: HttpClient) -> ReadReport:
    """Return the function that reads an endpoint's report."""

    async def read_report(
        endpoint: Endpoint,
    ) -> Result[LifecycleReport, Failure]:
        is_engine = endpoint.role is Role.ENGINE
        answer = await client.fetch(
            endpoint.address,
            json_request('GET', _ENGINE_PATH if is_engine else _SERVICE_PATH),
            timeout_seconds=REPORT_TIMEOUT_SECONDS,
        )
        return answer.bind(_read_response)

    return read_report


def _read_response(response: Response) -> Result[LifecycleReport, Failure]:
    if response.status == OK:
        return decode(response.body, LifecycleReport)
    return Error(read_refusal(response))
