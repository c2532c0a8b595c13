"""Messages that disseminate records of members and endpoints between nodes.

Records are versioned, so that merging them in any order, twice or late gives
the same result.
"""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum, unique

from msgspec import Raw

from limpetdrift.protocol.bounded import BoundedInt
from limpetdrift.protocol.node import Endpoint, Node
from limpetdrift.transport.messages import Address


@unique
class MemberState(StrEnum):
    """A member's state; a ``SUSPECT`` has not answered lately.

    ``LEAVING`` is announced by the member itself. A suspect that does not
    refute the suspicion in time becomes ``DEAD``.
    """

    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    DEAD = 'dead'


@unique
class ListingState(IntEnum):
    """An endpoint's state in the platform's instance list."""

    ABSENT = 0
    LIVE = 1
    LEAVING = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberRecord:
    """A member's state; only the member itself raises ``version``.

    ``leaving`` is set by the member itself, and stays set while other nodes
    suspect it.
    """

    node: Node
    state: MemberState = MemberState.LIVE
    leaving: bool = False
    version: BoundedInt = 0

    @property
    def name(self) -> str:
        """The key of the record."""
        return self.node.name


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointRecord:
    """The state of an endpoint, from the instance list and its own signs.

    ``leaving`` is set by the endpoint's reports and refusals or by an
    operator. It applies to one ``incarnation`` and is never reset for it.
    ``listed`` and ``endpoint`` come from the instance list; of two records,
    those with the higher ``list_version`` win.
    """

    name: str
    incarnation: BoundedInt = 0
    leaving: bool = False
    listed: ListingState = ListingState.ABSENT
    list_version: BoundedInt = 0
    endpoint: Endpoint | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberVersion:
    """The incarnation and version of a member's record, without its content."""

    name: str
    incarnation: BoundedInt
    version: BoundedInt


@dataclass(frozen=True, kw_only=True, slots=True)
class GossipMessage:
    """One direction of a gossip exchange.

    ``sender`` has the version of the sender's own record. ``member_hash`` and
    ``endpoint_hash`` are hashes over the sender's tables, which nodes of one
    region compare. ``held`` is set if the sender considers the receiver
    suspect or dead: it is the version that the receiver must exceed to refute
    this.
    ``contacts`` are nodes of other regions, or of the sender's region if the
    receiver is in another one. ``digests`` holds the digests of other
    components by their names.
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
    """Requests the records of the hash buckets that differ.

    Each field holds the hashes of all buckets of the sender's table.
    """

    member_buckets: tuple[int, ...]
    endpoint_buckets: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SyncReply:
    """All records of the differing buckets, as many buckets as fit.

    ``member_buckets`` and ``endpoint_buckets`` hold the indexes of the
    buckets that are included.
    """

    members: tuple[MemberRecord, ...] = ()
    member_buckets: tuple[int, ...] = ()
    endpoints: tuple[EndpointRecord, ...] = ()
    endpoint_buckets: tuple[int, ...] = ()


@unique
class ProbeOutcome(StrEnum):
    """The outcome of an attempt to reach a peer."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    TIMED_OUT = 'silent'


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeRequest:
    """Asks a peer to probe another one."""

    name: str
    address: Address


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeReply:
    """The outcome of the probe that was requested."""

    contact: ProbeOutcome
