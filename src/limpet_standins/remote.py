"""Calls from tests and demos to running stand-ins."""

from typing import Any

import msgspec
import trio

from limpetdrift.protocol.codec import json_request
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import parse_address

CALL_SECONDS = 5.0
_OK = 200


class RemoteError(Exception):
    """A stand-in did not answer, or refused."""


async def fetch_json(
    address: str,
    method: str,
    path: str,
    message: object = None,
) -> Any:
    """Make one call and return the JSON of its answer."""
    client = HttpClient()
    try:
        answer = await client.fetch(
            parse_address(address),
            json_request(method, path, message),
            timeout_seconds=CALL_SECONDS,
            new_connection=True,
        )
    finally:
        client.close()
    if answer.is_error():
        raise RemoteError(address, path, answer.error)
    if answer.ok.status != _OK:
        raise RemoteError(address, path, answer.ok.status)
    return msgspec.json.decode(answer.ok.body)


def call(
    address: str,
    method: str,
    path: str,
    message: object = None,
) -> Any:
    """Make one call from code that does not run in trio."""
    return trio.run(fetch_json, address, method, path, message)


def set_faults(address: str, **faults: object) -> None:
    """Replace the faults of a stand-in; without any, clear them."""
    call(address, 'POST', '/control/faults', faults)


def fetch_journal(address: str) -> list[dict[str, Any]]:
    """Return what a stand-in did, in order."""
    return call(address, 'GET', '/control/journal')


def fetch_held_tokens(address: str) -> int:
    """Return the memory that an engine's allocations hold now."""
    listed = call(address, 'GET', '/v1/allocations')
    return sum(each['tokens'] for each in listed)


def is_ready(address: str) -> bool:
    """Return whether a program of ours says that it takes requests."""
    return trio.run(_is_ready, address)


async def _is_ready(address: str) -> bool:
    client = HttpClient()
    answer = await client.fetch(
        parse_address(address),
        json_request('GET', '/readyz'),
        timeout_seconds=CALL_SECONDS,
        new_connection=True,
    )
    client.close()
    return answer.is_ok() and answer.ok.status == _OK
