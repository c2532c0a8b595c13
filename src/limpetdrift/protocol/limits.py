"""Messages about the rates that endpoints take from all entries together.

One entry decides for an endpoint which calls it gets: the planner of the
endpoint's group.
"""

from dataclasses import dataclass

from limpetdrift.protocol.bounded import BoundedFloat, Rate
from limpetdrift.protocol.plans import EndpointId

PUSH_PATH = 'limits'
PULL_PATH = 'limits-pull'
SPENT_PATH = 'limits-spent'
PERMIT_PATH = 'permit'
# The age of a limit that was never named.
UNNAMED_AGE_SECONDS = 1_000_000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitRecord:
    """A limit that a lifetime of an endpoint named ``age_seconds`` ago.

    ``requests_per_second`` is ``None`` if it named none any more. Of two
    records the younger one holds. A limit that was never named has an age of
    ``UNNAMED_AGE_SECONDS``. The endpoint, of ``service``, is cold for another
    ``cold_seconds``, which entries of a build without cold endpoints omit.
    """

    endpoint: EndpointId
    requests_per_second: Rate | None
    age_seconds: BoundedFloat
    service: str = ''
    cold_seconds: BoundedFloat = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitRecords:
    """Records that are reported to the decider, or that it passes on.

    ``has_learned`` is false while the sender, which has just started, is still
    learning the limits; a reply to a pull may then lack some.
    """

    records: tuple[LimitRecord, ...] = ()
    has_learned: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitsPull:
    """Requests a peer's records; also the reply to a push."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitsDigest:
    """A hash over the limits that a node knows, compared through gossip."""

    limits: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SpentCalls:
    """Reports calls that were sent without a permit, one id for each.

    Memory that a prompt holds has to be renewed and released.
    """

    endpoints: tuple[EndpointId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequest:
    """Asks for one call to one of the endpoints, the first choice first.

    ``records`` holds what the asking entry knows of their limits. If
    ``is_final`` is set, the caller is refused without a permit; the decider
    then names a time to retry.
    """

    service: str
    endpoints: tuple[EndpointId, ...]
    records: tuple[LimitRecord, ...] = ()
    is_final: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """Allows one call to an endpoint, at once."""

    endpoint: EndpointId
