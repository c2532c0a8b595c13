"""Records the outcomes of this node's own recent contacts with its peers."""

from dataclasses import dataclass

from limpetdrift.protocol.gossip import ProbeOutcome

RETENTION_SECONDS = 10.0
# Covers two gossip rounds.
COUNT_WINDOW_SECONDS = 2.5


@dataclass(frozen=True, kw_only=True, slots=True)
class EvidenceCounts:
    """The numbers of peers whose last contact timed out or was answered.

    ``silent`` counts the timeouts, ``answering`` the answers.
    """

    silent: int
    answering: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _Contact:
    outcome: ProbeOutcome
    at: float


class Evidence:
    """The outcome of the last contact with each peer, and its last answer."""

    def __init__(self) -> None:
        self._contacts: dict[str, _Contact] = {}
        self._answered_at: dict[str, float] = {}

    def record(self, name: str, outcome: ProbeOutcome, now: float) -> None:
        """Record the outcome of a contact with a peer, at time ``now``."""
        self._contacts[name] = _Contact(outcome=outcome, at=now)
        if outcome is ProbeOutcome.ANSWERED:
            self._answered_at[name] = now

    def answered_after(self, name: str, since: float) -> bool:
        """Return whether the peer answered this node after a time."""
        return self._answered_at.get(name, since) > since

    def counts(self, now: float) -> EvidenceCounts:
        """Return the counts within ``COUNT_WINDOW_SECONDS`` before ``now``.

        A refused connection counts as neither. The window covers only two
        gossip rounds, so that a node that is cut off detects it soon, however
        many peers have answered it before.
        """
        self._drop_expired(now)
        counted_from = now - COUNT_WINDOW_SECONDS
        outcomes = [
            contact.outcome
            for contact in self._contacts.values()
            if contact.at >= counted_from
        ]
        return EvidenceCounts(
            silent=outcomes.count(ProbeOutcome.TIMED_OUT),
            answering=outcomes.count(ProbeOutcome.ANSWERED),
        )

    def clear(self) -> None:
        """Discard the outcomes, for example after a pause of this process.

        The times of the last answers are kept.
        """
        self._contacts.clear()

    def _drop_expired(self, now: float) -> None:
        oldest = now - RETENTION_SECONDS
        for name, contact in list(self._contacts.items()):
            if contact.at < oldest:
                self._contacts.pop(name)
                self._answered_at.pop(name, None)
