"""Whether an entry may rely on the configuration that it holds.

It may not after a start or a pause, until its versions are confirmed by the
store or by peers; nor while it is cut off: the store and the instance list
out of reach, and more peers silent than answering.
"""

from collections.abc import Callable
from dataclasses import dataclass

from limpetdrift import telemetry
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.verdict import Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationTiming:
    """How often an entry looks, and how long it trusts what it saw.

    ``cut_off_seconds`` counts from the last sign of the outside. With the
    second that it takes to notice a silent peer it stays within the five
    seconds in which a change must be in force.
    """

    poll_seconds: float = 2.0
    exchange_seconds: float = 1.0
    exchange_peers: int = 2
    call_timeout_seconds: float = 1.0
    heartbeat_interval_seconds: float = 0.25
    late_seconds: float = 1.0
    cut_off_seconds: float = 3.75
    push_seconds: float = 5.0
    push_wait_seconds: float = 3.0
    confirm_peers: int = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReachability:
    """How many peers answer calls, and how many don't.

    A peer whose connections are refused is dead and counts as neither.
    """

    answering: int
    silent: int


@dataclass(frozen=True, kw_only=True)
class ClusterView:
    """What an entry knows of its surroundings at any time.

    ``others`` returns the other entries that are not known to have ended;
    ``contacts`` how many of them answer; ``list_reachable`` whether the
    instance list was read within the last seconds; ``polls`` whether this
    entry is one of the few that poll the store.
    """

    others: Callable[[], tuple[Node, ...]]
    contacts: Callable[[], PeerReachability]
    list_reachable: Callable[[], bool]
    is_poller: Callable[[], bool]


class ConfirmationState:
    """When the entry last ran, last heard of others, and was confirmed."""

    def __init__(
        self,
        *,
        now: Callable[[], float],
        timing: ConfigurationTiming,
    ) -> None:
        self._now = now
        self._timing = timing
        self._generation = 1
        self._confirmed_generation = 0
        self._last_beat = now()
        self._last_contact = now()
        self._suspicious = False

    @property
    def generation(self) -> int:
        """Grows each time that an earlier confirmation stops to count."""
        return self._generation

    @property
    def is_isolation_suspected(self) -> bool:
        """Whether only the store can tell that the entry isn't cut off."""
        return self._suspicious

    @property
    def is_confirmed(self) -> bool:
        """Whether nothing happened since that calls for confirmation."""
        return self._confirmed_generation == self._generation

    @property
    def is_cut_off(self) -> bool:
        """Whether nothing from outside was heard for too long."""
        silence = self._now() - self._last_contact
        return silence >= self._timing.cut_off_seconds

    def confirm(self, generation: int) -> None:
        """Count versions as confirmed that were asked for at a generation.

        After a pause the next check makes the generation grow, so that what
        was asked for before it doesn't count.
        """
        self._confirmed_generation = generation

    def record_contact(self, asked_at: float) -> None:
        """Note a good answer from the store, asked for at that time."""
        self._last_contact = max(self._last_contact, asked_at)

    def record_heartbeat(
        self, contacts: PeerReachability, *, list_reachable: bool
    ) -> None:
        """Note that the entry runs, and what it hears of others."""
        self.check()
        self._last_beat = self._now()
        self._suspicious = (
            contacts.silent > contacts.answering and not list_reachable
        )
        if not self._suspicious:
            self._last_contact = self._now()

    def check(self) -> Reason | None:
        """Return why the entry may not admit, if it may not."""
        pause = self._now() - self._last_beat
        if (
            pause
            > self._timing.late_seconds
            + self._timing.heartbeat_interval_seconds
        ):
            self._doubt('paused')
            return Reason.UNCONFIRMED
        if self.is_cut_off:
            self._doubt('cut-off')
            return Reason.PARTITIONED
        return None if self.is_confirmed else Reason.UNCONFIRMED

    def _doubt(self, cause: str) -> None:
        if self.is_confirmed:
            telemetry.count('configuration_doubts', cause=cause)
        self._generation += 1
