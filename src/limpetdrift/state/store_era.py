"""Follows the era of a store, a number that rises with each return of it.

A store returns when it is restored from an older copy. Its versions then go
back and are given out again, so a version means nothing without its era.
"""

from collections.abc import Callable
from enum import StrEnum, unique

from limpetdrift.logs import note, warn
from limpetdrift.protocol.routing_sync import UNKNOWN_ERA

# Limit of the digits of an era. A larger number is malformed: once accepted,
# it would make every later answer one from the past.
_MAX_DIGITS = 12


@unique
class EraOrder(StrEnum):
    """An answer's era, compared to the last known one."""

    SAME = 'same'
    NEWER = 'newer'
    OLDER = 'older'
    UNREADABLE = 'unreadable'


def classify_era(known: int, text: str) -> EraOrder:
    """Compare an era, as received, to the last known one.

    >>> [classify_era(3, text).value for text in ('2', '3', '4', '', '-4')]
    ['older', 'same', 'newer', 'unreadable', 'unreadable']
    """
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS):
        return EraOrder.UNREADABLE
    era = int(text)
    if era == known:
        return EraOrder.SAME
    return EraOrder.NEWER if era > known else EraOrder.OLDER


class StoreEra:
    """The newest era that was seen in answers of the store or of peers.

    The functions in ``on_first`` are called when the first era is known, and
    those in ``on_rise`` with each rise from a known era.
    Peers are polled after a start and after each such rise, since they may
    know what an older copy of the store lacks; the functions in
    ``on_peer_poll`` are called once this has settled what may be confirmed. A
    store whose answers name no era at all does not come back from copies, so
    nothing waits for peers then.
    """

    def __init__(self) -> None:
        self.on_first: list[Callable[[], None]] = []
        self.on_rise: list[Callable[[], None]] = []
        self.on_peer_poll: list[Callable[[], None]] = []
        self._known = UNKNOWN_ERA
        self._first = UNKNOWN_ERA
        self._is_unreadable_logged = False
        self._is_peer_poll_due = True
        self._is_without_eras = False
        self._has_settled = False

    @property
    def is_peer_poll_due(self) -> bool:
        """Whether peers are yet to be polled in this era."""
        return self._is_peer_poll_due and not self._is_without_eras

    @property
    def has_settled(self) -> bool:
        """Whether the store's answers could be confirmed before this era."""
        return self._has_settled

    @property
    def settled_era(self) -> int:
        """The newest era if its answers may be confirmed, or no era."""
        return UNKNOWN_ERA if self.is_peer_poll_due else self._known

    @property
    def known(self) -> int:
        """The newest era."""
        return self._known

    @property
    def first(self) -> int:
        """The era that was seen first.

        What peers of a build without eras send counts as of this era, since
        they do not notice a return of the store.
        """
        return self._first

    def observe(self, text: str, call: str) -> EraOrder:
        """Compare the era of an answer, and adopt it if it is newer.

        ``call`` names the call that was answered. An answer without a valid
        era is logged once, and callers treat it as one of the known era.
        """
        order = classify_era(self._known, text)
        if order is EraOrder.NEWER:
            self.learn(int(text), call)
        elif order is EraOrder.OLDER:
            warn(
                'answer from an earlier era of the store ignored',
                era=int(text),
                known=self._known,
                call=call,
            )
        elif order is EraOrder.UNREADABLE:
            self._is_without_eras = not text and self._known == UNKNOWN_ERA
            self._log_unreadable(text, call)
        return order

    def learn(self, era: int, call: str) -> None:
        """Adopt an era if it is newer than the known one.

        ``call`` names its source in the log: a path of the store, or ``relay``
        for a peer's reply.
        """
        if era <= self._known:
            return
        before = self._known
        self._known = era
        if self._is_without_eras:
            self._is_without_eras = False
            self._has_settled = True
        self._is_peer_poll_due = True
        note('era of the store has risen', before=before, era=era, call=call)
        if before == UNKNOWN_ERA:
            self._first = era
        listeners = self.on_first if before == UNKNOWN_ERA else self.on_rise
        for listener in listeners:
            listener()

    def record_peer_poll(self, era: int) -> None:
        """Record that what the store shows in an era may be confirmed."""
        if era != self._known or not self._is_peer_poll_due:
            return
        self._is_peer_poll_due = False
        self._has_settled = self._has_settled or era != UNKNOWN_ERA
        for listener in self.on_peer_poll:
            listener()

    def _log_unreadable(self, text: str, call: str) -> None:
        if not self._is_unreadable_logged:
            self._is_unreadable_logged = True
            warn(
                'answer of the store names no valid era',
                text=text[:_MAX_DIGITS],
                known=self._known,
                call=call,
            )
