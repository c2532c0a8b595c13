"""Decodes rows of the platform's endpoint list.

Any process can write to the list, so each row is decoded on its own: an
invalid one does not affect the others.
"""

import msgspec
from expression import Error, Ok, Result

from limpetdrift.protocol.bounded import (
    BoundedInt,
    Name,
    RequestCount,
    Version,
    is_header_text,
)
from limpetdrift.protocol.codec import decode_json
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.transport.messages import parse_address

_READY = 'ready'
_DRAINING = 'draining'
_MILLISECONDS = 1000
_STATES = frozenset((_READY, _DRAINING))


class _EndpointRow(msgspec.Struct, kw_only=True):
    service: Name
    address: str
    # The failure domain.
    zone: Name
    # Requests that may run at the same time.
    slots: RequestCount
    state: str
    # Start time of the process, in Unix milliseconds. A restarted process
    # keeps its name, so only both together identify a lifetime.
    born: Version = 0
    # How much longer the endpoint is cold from when the row was written, in
    # milliseconds; 0 if it is warm.
    cold_remaining_ms: BoundedInt = msgspec.field(
        default=0, name='coldRemainingMs'
    )


def decode_endpoint(name: str, payload: bytes) -> Result[ListedEndpoint, str]:
    """Decode the row of an endpoint, or return why it is invalid.

    >>> decode_endpoint('i-1', b'nonsense').is_error()
    True
    """
    if not is_header_text(name):
        return Error('key is no name of an endpoint')
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
    return '' if row.state in _STATES else 'state is unknown'
