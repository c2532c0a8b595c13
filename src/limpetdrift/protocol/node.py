"""The processes of this system, and the endpoints that serve its requests."""

from dataclasses import dataclass
from enum import StrEnum, unique

from limpetdrift.protocol.bounded import BoundedInt
from limpetdrift.transport.messages import Address


@unique
class Role(StrEnum):
    """The kind of a process or endpoint.

    An entry takes callers' requests; a steward sends orders to engines and
    sweeps the claims table. An engine runs a model; a service is a plain one.
    """

    ENTRY = 'entry'
    STEWARD = 'steward'
    ENGINE = 'engine'
    SERVICE = 'service'


@dataclass(frozen=True, kw_only=True, slots=True)
class Node:
    """One running process of this system, as its peers see it.

    ``incarnation`` grows with each start of a process under ``name``, so that
    messages of an earlier process can be told apart. Callers connect to
    ``caller_address``, other nodes to ``peer_address``. Raises ``ValueError``
    for an address without a port.
    """

    name: str
    incarnation: BoundedInt
    role: Role
    region: str
    failure_domain: str
    caller_address: Address
    peer_address: Address

    def __post_init__(self) -> None:
        for address in (self.caller_address, self.peer_address):
            # An entry that serves no callers has no address for them.
            if address is not None and not address.port:
                raise ValueError(f'expected a port, got {address}')


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """A model engine or plain service instance that requests are sent to.

    ``service`` is the service's name for a plain service, ``model`` the
    served model for an engine. A ``leaving`` endpoint gets no new requests.
    """

    name: str
    role: Role
    address: Address
    failure_domain: str
    service: str = ''
    model: str = ''
    leaving: bool = False
