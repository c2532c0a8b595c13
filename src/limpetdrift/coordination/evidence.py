"""What this node itself saw of its peers lately."""

from dataclasses import dataclass

from limpetdrift.protocol.gossip import ProbeOutcome

EVIDENCE_SECONDS = 10.0
COUNTED_SECONDS = 2.5


@dataclass(frozen=True, kw_only=True, slots=True)
class EvidenceCounts:
    """How many peers were silent and how many answered at the last try."""

    silent: int
    answering: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _Seen:
    contact: ProbeOutcome
    at: float


class Evidence:
    """The last contact with each peer, and when each answered last."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}
        self._answered_at: dict[str, float] = {}

    def note(self, name: str, contact: ProbeOutcome, now: float) -> None:
        """Record how an attempt to reach the peer ended."""
        self._seen[name] = _Seen(contact=contact, at=now)
        if contact is ProbeOutcome.ANSWERED:
            self._answered_at[name] = now

    def answered_after(self, name: str, moment: float) -> bool:
        """Return whether the peer answered this node after the moment."""
        return self._answered_at.get(name, moment) > moment

    def counts(self, now: float) -> EvidenceCounts:
        """Return the counts of late; a refused connection is in neither.

        They reach back two rounds, so that a node that is cut off notices
        soon, however many peers have answered it before.
        """
        self._drop_old(now)
        counted_from = now - COUNTED_SECONDS
        contacts = [
            seen.contact
            for seen in self._seen.values()
            if seen.at >= counted_from
        ]
        return EvidenceCounts(
            silent=contacts.count(ProbeOutcome.TIMED_OUT),
            answering=contacts.count(ProbeOutcome.ANSWERED),
        )

    def clear(self) -> None:
        """Forget what was seen, such as after a pause of this process."""
        self._seen.clear()

    def _drop_old(self, now: float) -> None:
        oldest = now - EVIDENCE_SECONDS
        for name, seen in list(self._seen.items()):
            if seen.at < oldest:
                self._seen.pop(name)
                self._answered_at.pop(name, None)
