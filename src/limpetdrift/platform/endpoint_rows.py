"""Decodes rows of the platform's endpoint list.

Any process can write to the list, so each row is decoded on its own: an
invalid one does not affect the others.
"""

import sys

import msgspec
from expression import Error, Ok, Result

from limpetdrift.protocol.codec import decode_json
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.transport.messages import parse_address

_READY = 'ready'
_DRAINING = 'draining'
_MILLISECONDS = 1000
_STATES = frozenset((_READY, _DRAINING))


class _EndpointRow(msgspec.Struct, kw_only=True):
    service: str
    address: str
    # The failure domain.
    zone: str
    # Requests that may run at the same time.
    slots: int
    state: str
    # Start time of the process, in Unix milliseconds. A restarted process
    # keeps its name, so only both together identify a lifetime.
    born: int = 0
    # How much longer the endpoint is cold from when the row was written, in
    # milliseconds; 0 if it is warm.
    cold_remaining_ms: int = msgspec.field(default=0, name='coldRemainingMs')


def decode_endpoint(name: str, payload: bytes) -> Result[ListedEndpoint, str]:
    """Decode the row of an endpoint, or return why it is invalid.

    >>> decode_endpoint('i-1', b'nonsense').is_error()
    True
    """
    decoded = decode_json(payload, _EndpointRow)
    if decoded.is_error():
        return Error(decoded.error)
    row = decoded.ok
    fault = _find_fault(row)
    if fault:
        return Error(fault)
    return Ok(
        ListedEndpoint(
            name=name,
            lifetime=row.born,
            service=row.service,
            address=row.address,
            failure_domain=row.zone,
            slots=row.slots,
            leaving=row.state == _DRAINING,
            cold_seconds=max(0, row.cold_remaining_ms) / _MILLISECONDS,
        ),
    )


def _find_fault(row: _EndpointRow) -> str:
    """Return what is wrong with a row whose fields have the right types."""
    try:
        parse_address(row.address)
    except ValueError as error:
        return f'address: {error}'
    numbers = {
        'slots': row.slots,
        'born': row.born,
        'coldRemainingMs': row.cold_remaining_ms,
    }
    for name, number in numbers.items():
        # Larger numbers can't be taken for times, nor relayed by all builds.
        if abs(number) > sys.maxsize:
            return f'{name} is out of range'
    return '' if row.state in _STATES else f'unknown state {row.state!r}'
