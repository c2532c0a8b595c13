"""Messages about entries that are cut off from the endpoints of a service."""

from dataclasses import dataclass

from limpetdrift.protocol.bounded import BoundedInt

PUSH_PATH = 'links/news'
PULL_PATH = 'links/pull'


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkRecord:
    """The services whose endpoints an entry does not reach.

    ``version`` grows with each change.
    """

    entry: str
    version: BoundedInt
    cut_services: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkNews:
    """Records that are pushed to a peer or sent to its pull."""

    records: tuple[LinkRecord, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkPull:
    """Requests all records of a peer; also the reply to a push."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkDigest:
    """A hash over the records that a node knows, compared through gossip."""

    records: int
