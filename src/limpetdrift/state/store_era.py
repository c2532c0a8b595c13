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

    The functions in ``on_rise`` are called with each rise from a known era.
    One peer is polled after a start and after each such rise, since peers may
    know what an older copy of the store lacks; the functions in
    ``on_peer_poll`` are called after it. A store whose answers name no era at
    all does not come back from copies, so nothing waits for peers then.
    """

    def __init__(self) -> None:
        self.on_rise: list[Callable[[], None]] = []
        self.on_peer_poll: list[Callable[[], None]] = []
        self._known = UNKNOWN_ERA
        self._first = UNKNOWN_ERA
        self._is_unreadable_logged = False
        self._is_peer_poll_due = True
        self._is_without_eras = False

    @property
    def is_peer_poll_due(self) -> bool:
        """Whether a peer is yet to be polled in this era."""
        return self._is_peer_poll_due and not self._is_without_eras

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
        self._is_without_eras = False
        note('era of the store has risen', before=before, era=era, call=call)
        if before == UNKNOWN_ERA:
            self._first = era
            return
        self._is_peer_poll_due = True
        for listener in self.on_rise:
            listener()

    def record_peer_poll(self, era: int) -> None:
        """Record that a peer was polled in an era, or that none could be."""
        if era != self._known:
            return
        self._is_peer_poll_due = False
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
