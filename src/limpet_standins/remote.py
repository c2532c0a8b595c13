"""Calls running stand-ins and entries from tests and demos."""

from typing import Any

import msgspec
import trio

from limpetdrift.protocol.codec import json_request
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import parse_address

CALL_TIMEOUT_SECONDS = 5.0
_OK = 200


class RemoteError(Exception):
    """A call failed, or got a status other than 200."""


async def fetch_json(
    address: str,
    method: str,
    path: str,
    message: object = None,
) -> Any:
    """Make one call and return its response, decoded from JSON.

    Raises ``RemoteError`` if it fails or gets a status other than 200.
    """
    client = HttpClient()
    try:
        response = await client.fetch(
            parse_address(address),
            json_request(method, path, message),
            timeout_seconds=CALL_TIMEOUT_SECONDS,
            new_connection=True,
        )
    finally:
        client.close()
    if response.is_error():
        raise RemoteError(address, path, response.error)
    if response.ok.status != _OK:
        raise RemoteError(address, path, response.ok.status)
    return msgspec.json.decode(response.ok.body)


def call(
    address: str,
    method: str,
    path: str,
    message: object = None,
) -> Any:
    """Make one call like ``fetch_json``, from code outside trio."""
    return trio.run(fetch_json, address, method, path, message)


def set_faults(address: str, **faults: object) -> None:
    """Replace the faults of a stand-in; no arguments clear them."""
    call(address, 'POST', '/control/faults', faults)


def fetch_journal(address: str) -> list[dict[str, Any]]:
    """Return the journal of a stand-in, oldest event first."""
    return call(address, 'GET', '/control/journal')


def fetch_held_tokens(address: str) -> int:
    """Return the memory of an engine's allocations, in tokens."""
    allocations = call(address, 'GET', '/v1/allocations')
    return sum(allocation['tokens'] for allocation in allocations)


def is_ready(address: str) -> bool:
    """Return whether the ``/readyz`` of an entry responds with 200."""
    return trio.run(_fetch_readiness, address)


async def _fetch_readiness(address: str) -> bool:
    client = HttpClient()
    response = await client.fetch(
        parse_address(address),
        json_request('GET', '/readyz'),
        timeout_seconds=CALL_TIMEOUT_SECONDS,
        new_connection=True,
    )
    client.close()
    return response.is_ok() and response.ok.status == _OK
