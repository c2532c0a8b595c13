"""Decodes rows of the platform's endpoint list.

Any process can write to the list, so each row is decoded on its own: an
invalid one does not affect the others.
"""

import msgspec
from expression import Error, Ok, Result

from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.transport.messages import parse_address

_READY = 'ready'
_DRAINING = 'draining'
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


def decode_endpoint(name: str, payload: bytes) -> Result[ListedEndpoint, str]:
    """Decode the row of an endpoint, or return why it is invalid.

    >>> decode_endpoint('i-1', b'nonsense').is_error()
    True
    """
    try:
        row = msgspec.json.decode(payload, type=_EndpointRow)
        parse_address(row.address)
    except (msgspec.DecodeError, ValueError) as error:
        return Error(str(error))
    if row.state not in _STATES:
        return Error(f'unknown state {row.state!r}')
    return Ok(
        ListedEndpoint(
            name=name,
            lifetime=row.born,
            service=row.service,
            address=row.address,
            failure_domain=row.zone,
            slots=row.slots,
            leaving=row.state == _DRAINING,
        ),
    )
