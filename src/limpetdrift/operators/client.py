"""Calls the operator API of the first entry that answers.

Entries that are down, or that answer with an error, are skipped.
"""

from typing import TypeVar

from expression import Result

from limpetdrift.protocol.codec import JSON_HEADERS, decode, encode
from limpetdrift.protocol.operator import OPERATOR_SECRET_HEADER
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)

Reply = TypeVar('Reply')

# Timeout of one call to one entry.
CALL_TIMEOUT_SECONDS = 12.0
_OK = 200
_REASONS_BY_STATUS = {401: Reason.UNAUTHORIZED, 403: Reason.FORBIDDEN}  # noqa: WPS407


class OperatorClient:
    """Sends each call to the entries in turn until one answers it.

    Operator calls are safe to send again: a change carries an id by which it
    is accepted at most once, and the other calls are idempotent. If all
    entries fail and any of them may have run the call, the returned failure
    has the verdict ``MAY_HAVE_RUN``.
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

    async def get(
        self, path: str, reply_type: type[Reply]
    ) -> Result[Reply, Failure]:
        """Fetch a report and decode it as ``reply_type``."""
        return await self._call(self._request('GET', path, b''), reply_type)

    async def post(
        self,
        path: str,
        message: object,
        reply_type: type[Reply],
    ) -> Result[Reply, Failure]:
        """Send a message and decode the reply as ``reply_type``."""
        return await self._call(
            self._request('POST', path, encode(message)),
            reply_type,
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
        reply_type: type[Reply],
    ) -> Result[Reply, Failure]:
        failure = not_run(Reason.NO_ENDPOINT, 'no entry is given')
        any_may_have_run = False
        for address in self._entries:
            answer = await self._http.fetch(
                address,
                request,
                timeout_seconds=CALL_TIMEOUT_SECONDS,
            )
            reply = _decode_answer(answer, reply_type)
            if reply.is_ok():
                return reply
            failure = reply.error
            any_may_have_run = (
                any_may_have_run or failure.verdict is not Verdict.NOT_RUN
            )
        if any_may_have_run:
            failure = failure.with_verdict(Verdict.MAY_HAVE_RUN)
        return Result.Error(failure)


def _decode_answer(
    answer: Result[Response, Failure],
    reply_type: type[Reply],
) -> Result[Reply, Failure]:
    return answer.bind(lambda response: _decode_response(response, reply_type))


def _decode_response(
    response: Response, reply_type: type[Reply]
) -> Result[Reply, Failure]:
    if response.status == _OK:
        return decode(response.body, reply_type).map_error(
            lambda failure: may_have_run(Reason.BAD_ANSWER, failure.detail),
        )
    failure = decode(response.body, Failure)
    if failure.is_ok():
        return Result.Error(failure.ok)
    detail = f'status {response.status}'
    reason = _REASONS_BY_STATUS.get(response.status)
    if reason is None:
        return Result.Error(may_have_run(Reason.BAD_ANSWER, detail))
    return Result.Error(not_run(reason, detail))
