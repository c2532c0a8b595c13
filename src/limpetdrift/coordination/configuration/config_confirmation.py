"""Decides whether an entry may rely on its copy of the configuration.

After a start or a pause of the process the copy may be outdated, so the entry
admits no requests until the store or peers have confirmed its versions. It
also admits none while it is partitioned: the store and the instance list are
unreachable, and more peers time out than answer.
"""

from collections.abc import Callable
from dataclasses import dataclass

from limpetdrift import telemetry
from limpetdrift.protocol.node import Node
from limpetdrift.verdict import Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationTiming:
    """Intervals, timeouts and sample sizes of the configuration's tasks.

    ``poll_seconds`` is the interval at which a poller reads the store's stamp.
    Every ``exchange_interval_seconds`` an entry compares versions with
    ``exchange_peers`` sampled peers; to confirm its versions it asks up to
    ``confirm_peers``. ``call_timeout_seconds`` bounds one call to the store or
    to a peer.

    A heartbeat that is more than ``pause_threshold_seconds`` late shows that
    the process was paused. ``partition_timeout_seconds`` counts from the last
    request that the store answered, or the last heartbeat at which isolation
    was not suspected. Together with the second that it takes to detect an
    unresponsive peer it stays below the five seconds within which a change
    must be in force.

    A push to a peer is retried for ``push_deadline_seconds``; an operator's
    change waits ``push_wait_seconds`` for all pushes.
    """

    poll_seconds: float = 2.0
    exchange_interval_seconds: float = 1.0
    exchange_peers: int = 2
    call_timeout_seconds: float = 1.0
    heartbeat_interval_seconds: float = 0.25
    pause_threshold_seconds: float = 1.0
    partition_timeout_seconds: float = 3.75
    push_deadline_seconds: float = 5.0
    push_wait_seconds: float = 3.0
    confirm_peers: int = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReachability:
    """The numbers of peers that answer calls and of those that time out.

    A peer that refuses connections is dead and counts as neither.
    """

    answering: int
    silent: int


@dataclass(frozen=True, kw_only=True)
class ClusterView:
    """The current state of the cluster as this entry sees it.

    ``others`` returns the other entries that are not known to be dead;
    ``contacts`` the numbers of them that answer and that time out;
    ``list_reachable`` whether the instance list was read in the last seconds;
    ``is_poller`` whether this entry is one of the few that poll the store.
    """

    others: Callable[[], tuple[Node, ...]]
    contacts: Callable[[], PeerReachability]
    list_reachable: Callable[[], bool]
    is_poller: Callable[[], bool]


class ConfirmationState:
    """Tracks heartbeats, contacts and confirmations of one entry.

    Each detected pause or partition starts a new generation; a confirmation
    is valid only for the generation in which it was requested.
    """

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
        self._last_heartbeat = now()
        self._last_contact = now()
        self._isolation_suspected = False

    @property
    def generation(self) -> int:
        """Increases whenever earlier confirmations become invalid."""
        return self._generation

    @property
    def is_isolation_suspected(self) -> bool:
        """Whether only the store can still rule out a partition."""
        return self._isolation_suspected

    @property
    def is_confirmed(self) -> bool:
        """Whether the current generation is confirmed."""
        return self._confirmed_generation == self._generation

    @property
    def is_partitioned(self) -> bool:
        """Whether ``partition_timeout_seconds`` passed without contact."""
        idle_seconds = self._now() - self._last_contact
        return idle_seconds >= self._timing.partition_timeout_seconds

    def confirm(self, generation: int) -> None:
        """Record a confirmation that was requested in a generation.

        A pause after the request makes the next check start a new generation,
        so the confirmation does not count.
        """
        self._confirmed_generation = generation

    def record_contact(self, requested_at: float) -> None:
        """Record an answer of the store to a request made at that time."""
        self._last_contact = max(self._last_contact, requested_at)

    def record_heartbeat(
        self, contacts: PeerReachability, *, list_reachable: bool
    ) -> None:
        """Record that the process runs, and how well it reaches others.

        Checks first, so that a pause before this heartbeat is detected.
        """
        self.check()
        self._last_heartbeat = self._now()
        self._isolation_suspected = (
            contacts.silent > contacts.answering and not list_reachable
        )
        if not self._isolation_suspected:
            self._last_contact = self._now()

    def check(self) -> Reason | None:
        """Return why the entry may not admit requests, or ``None``.

        A pause or partition found here invalidates earlier confirmations.
        """
        pause = self._now() - self._last_heartbeat
        if (
            pause
            > self._timing.pause_threshold_seconds
            + self._timing.heartbeat_interval_seconds
        ):
            self._invalidate('paused')
            return Reason.UNCONFIRMED
        if self.is_partitioned:
            self._invalidate('cut-off')
            return Reason.PARTITIONED
        return None if self.is_confirmed else Reason.UNCONFIRMED

    def _invalidate(self, cause: str) -> None:
        if self.is_confirmed:
            telemetry.count('configuration_doubts', cause=cause)
        self._generation += 1
