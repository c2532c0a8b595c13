"""Who takes part: entries and stewards, and the endpoints behind them."""

from dataclasses import dataclass
from enum import StrEnum, unique

from limpetdrift.transport.messages import Address


@unique
class Role(StrEnum):
    """What a process or endpoint does."""

    ENTRY = 'entry'
    STEWARD = 'steward'
    ENGINE = 'engine'
    SERVICE = 'service'


@dataclass(frozen=True, kw_only=True, slots=True)
class Node:
    """One running process of ours.

    ``incarnation`` grows with each start of the process of that name, so
    that what an earlier one said can be told apart. Callers use
    ``caller_address``, other processes of ours ``peer_address``.
    """

    name: str
    incarnation: int
    role: Role
    region: str
    failure_domain: str
    caller_address: Address
    peer_address: Address


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """A model engine or plain service instance that requests are sent to.

    ``service`` is the service's name for a plain service; ``model`` the
    served model for an engine.
    """

    name: str
    role: Role
    address: Address
    failure_domain: str
    service: str = ''
    model: str = ''
    leaving: bool = False
