"""Calls to the platform's object store, which keeps whole bodies by name.

``ObjectCalls`` holds the calls as functions, so that tests can replace the
store by a dictionary.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from limpetdrift.protocol.table_client import read_refusal
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request
from limpetdrift.verdict import Failure, Reason, not_run

CALL_TIMEOUT_SECONDS = 5.0
_OK = 200
_CREATED = 201
_NO_CONTENT = 204
_NOT_FOUND = 404


@dataclass(frozen=True, kw_only=True)
class ObjectCalls:
    """The object store as three functions.

    ``fetch`` of an absent name fails with ``Reason.NOT_FOUND``; ``delete`` of
    one succeeds.
    """

    put: Callable[[str, bytes], Awaitable[Result[None, Failure]]]
    fetch: Callable[[str], Awaitable[Result[bytes, Failure]]]
    delete: Callable[[str], Awaitable[Result[None, Failure]]]


def make_object_calls(client: HttpClient, address: Address) -> ObjectCalls:
    """Return the calls to the object store at an address over HTTP."""

    async def call(
        method: str,
        name: str,
        body: bytes,
        accepted: tuple[int, ...],
    ) -> Result[bytes, Failure]:
        request = Request(method=method, path=f'/objects/{name}', body=body)
        answer = await client.fetch(
            address,
            request,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            return Error(answer.error)
        if answer.ok.status in accepted:
            return Ok(answer.ok.body)
        if answer.ok.status == _NOT_FOUND:
            return Error(not_run(Reason.NOT_FOUND, name))
        return Error(read_refusal(answer.ok))

    async def put(name: str, body: bytes) -> Result[None, Failure]:
        stored = await call('PUT', name, body, (_OK, _CREATED))
        return stored.map(_discard)

    async def fetch(name: str) -> Result[bytes, Failure]:
        return await call('GET', name, b'', (_OK,))

    async def delete(name: str) -> Result[None, Failure]:
        accepted = (_OK, _NO_CONTENT, _NOT_FOUND)
        deleted = await call('DELETE', name, b'', accepted)
        return deleted.map(_discard)

    return ObjectCalls(put=put, fetch=fetch, delete=delete)


def _discard(_: bytes) -> None:
    """Ignore the body of an answer, which has no meaning."""
