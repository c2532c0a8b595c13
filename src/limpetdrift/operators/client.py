"""Calls the operator API of the first entry that answers."""

from typing import TypeVar

from expression import Result

from limpetdrift.protocol.codec import JSON_HEADERS, decode, encode
from limpetdrift.protocol.operator import OPERATOR_SECRET_HEADER
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, Response

Reply = TypeVar('Reply')

CALL_SECONDS = 12.0
_OK = 200
_REASONS = {401: Reason.UNAUTHORIZED, 403: Reason.FORBIDDEN}  # noqa: WPS407


class OperatorClient:
    """Tries the entries in turn.

    Every operator call may be sent again: a change carries an id that lets it
    in at most once, the others ask for a wanted state.
    """

    def __init__(
        self,
        *,
        entries: tuple[Address, ...],
        secret: str,
        http: HttpClient,
    ) -> None:
        self._entries = entries
        self._secret = secret
        self._http = http

    async def get(self, path: str, kind: type[Reply]) -> Result[Reply, Failure]:
        """Read a report."""
        return await self._call(self._request('GET', path, b''), kind)

    async def post(
        self,
        path: str,
        message: object,
        kind: type[Reply],
    ) -> Result[Reply, Failure]:
        """Send a message and read the report about it."""
        return await self._call(
            self._request('POST', path, encode(message)),
            kind,
        )

    def _request(self, method: str, path: str, body: bytes) -> Request:
        secret = (OPERATOR_SECRET_HEADER, self._secret)
        return Request(
            method=method,
            path=path,
            headers=(secret, *JSON_HEADERS),
            body=body,
        )

    async def _call(
        self,
        request: Request,
        kind: type[Reply],
    ) -> Result[Reply, Failure]:
        failure = not_run(Reason.NO_ENDPOINT, 'no entry is given')
        may_have = False
        for address in self._entries:
            answer = await self._http.fetch(
                address,
                request,
                timeout_seconds=CALL_SECONDS,
            )
            read = _read_answer(answer, kind)
            if read.is_ok():
                return read
            failure = read.error
            may_have = may_have or failure.verdict is not Verdict.NOT_RUN
        if may_have:
            failure = failure.with_verdict(Verdict.MAY_HAVE_RUN)
        return Result.Error(failure)


def _read_answer(
    answer: Result[Response, Failure],
    kind: type[Reply],
) -> Result[Reply, Failure]:
    return answer.bind(lambda response: _read(response, kind))


def _read(response: Response, kind: type[Reply]) -> Result[Reply, Failure]:
    if response.status == _OK:
        return decode(response.body, kind).map_error(
            lambda failure: may_have_run(Reason.BAD_ANSWER, failure.detail),
        )
    told = decode(response.body, Failure)
    if told.is_ok():
        return Result.Error(told.ok)
    detail = f'status {response.status}'
    reason = _REASONS.get(response.status)
    if reason is None:
        return Result.Error(may_have_run(Reason.BAD_ANSWER, detail))
    return Result.Error(not_run(reason, detail))
