"""Messages that spread the view of members and endpoints between nodes.

Records are versioned, so that merging them in any order, twice or late gives
the same view.
"""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum, unique

from msgspec import Raw

from limpetdrift.protocol.node import Endpoint, Node
from limpetdrift.transport.messages import Address


@unique
class MemberState(StrEnum):
    """What is held of a member; ``SUSPECT`` has not answered lately."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    DEAD = 'dead'


@unique
class ListingState(IntEnum):
    """What the platform's instance list says of an endpoint."""

    ABSENT = 0
    LIVE = 1
    LEAVING = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberRecord:
    """A member's state; only the member itself raises ``version``.

    ``leaving`` is its own word, and stays while it is suspect.
    """

    node: Node
    state: MemberState = MemberState.LIVE
    leaving: bool = False
    version: int = 0

    @property
    def name(self) -> str:
        """Return the key of the record."""
        return self.node.name


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointRecord:
    """What is known of an endpoint from the list and from its own signs.

    ``leaving`` holds for one ``incarnation`` and is never taken back for it.
    ``listed`` and ``endpoint`` follow the list by ``list_version``.
    """

    name: str
    incarnation: int = 0
    leaving: bool = False
    listed: ListingState = ListingState.ABSENT
    list_version: int = 0
    endpoint: Endpoint | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberVersion:
    """How far a member's own record has come, or how it is held elsewhere."""

    name: str
    incarnation: int
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class GossipMessage:
    """One direction of an exchange.

    ``held`` tells the receiver that the sender holds it suspect or dead.
    ``contacts`` are nodes of other regions, or of the sender's region where
    the receiver is in another. ``digests`` belong to other parts.
    """

    sender: MemberVersion
    region: str
    member_hash: int = 0
    endpoint_hash: int = 0
    held: MemberVersion | None = None
    members: tuple[MemberRecord, ...] = ()
    endpoints: tuple[EndpointRecord, ...] = ()
    contacts: tuple[Node, ...] = ()
    digests: dict[str, Raw] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """Asks for the records whose buckets hash differently."""

    member_buckets: tuple[int, ...]
    endpoint_buckets: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SyncReply:
    """Records of whole buckets, which are named, as many as fit."""

    members: tuple[MemberRecord, ...] = ()
    member_buckets: tuple[int, ...] = ()
    endpoints: tuple[EndpointRecord, ...] = ()
    endpoint_buckets: tuple[int, ...] = ()


@unique
class ProbeOutcome(StrEnum):
    """How an attempt to reach a peer ended."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    TIMED_OUT = 'silent'


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeRequest:
    """Asks a peer to reach another one."""

    name: str
    address: Address


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeReply:
    """What the peer that was asked found."""

    contact: ProbeOutcome
