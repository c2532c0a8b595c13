"""Fingerprints of requests that endpoints crashed on, and their standing."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import trio
from xxhash import xxh64_intdigest

from limpetdrift.protocol.quarantine import QuarantineRecord, QuarantineState

SUSPECT_SECONDS = 30.0
REFUSED_SECONDS = 600.0
RECORD_LIMIT = 10_000
_KEPT = frozenset((QuarantineState.REFUSED, QuarantineState.RELEASED))


@dataclass(frozen=True, kw_only=True, slots=True)
class _Held:
    """News with the trio time at which it ends."""

    news: QuarantineRecord
    until: float


class CrashSuspects:
    """What this entry holds of each fingerprint, for a bounded time.

    Changes are returned as news for the other entries; news merged in any
    order, twice or late leave the same standing.
    """

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing was ever suspected here."""
        return not self._held

    @property
    def digest(self) -> int:
        """A hash over the refusals and releases, whatever their order."""
        total = 0
        for news in self.records_in(_KEPT):
            named = f'{news.fingerprint}/{news.version}/{news.standing}'
            total ^= xxh64_intdigest(named.encode())
        return total

    def find(self, fingerprint: str) -> QuarantineRecord | None:
        """Return the standing with the seconds that it still lasts."""
        held = self._held.get(fingerprint)
        if held is None:
            return None
        left = held.until - trio.current_time()
        return replace(held.news, seconds=left) if left > 0 else None

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint has to run alone."""
        found = self.find(fingerprint)
        return found is not None and found.standing is QuarantineState.SUSPECT

    def records_in(self, standings: frozenset[QuarantineState]) -> Iterator:
        """Yield what is held in one of the standings."""
        for fingerprint in list(self._held):
            found = self.find(fingerprint)
            if found is not None and found.standing in standings:
                yield found

    def merge(self, news: QuarantineRecord) -> bool:
        """Take news in; return whether they were new."""
        found = self.find(news.fingerprint)
        if found is not None and _rank(news) <= _rank(found):
            return False
        until = trio.current_time() + news.seconds
        self._held[news.fingerprint] = _Held(news=news, until=until)
        self._drop_old()
        return True

    def note_crash(
        self,
        fingerprint: str,
        account: str,
        endpoint: str,
    ) -> QuarantineRecord | None:
        """Suspect a request that was on an endpoint that crashed."""
        found = self.find(fingerprint)
        if found is not None and found.standing is QuarantineState.REFUSED:
            return None
        news = QuarantineRecord(
            fingerprint=fingerprint,
            account=account,
            standing=QuarantineState.SUSPECT,
            version=found.version + 1 if found else 1,
            seconds=SUSPECT_SECONDS,
            endpoint=endpoint,
            crashes=_crashes_in_turn(found) + 1,
        )
        self.merge(news)
        return news

    def resolve_suspect(
        self,
        fingerprint: str,
        standing: QuarantineState,
    ) -> QuarantineRecord | None:
        """Clear a suspect that ran alone, or refuse it from now on."""
        found = self.find(fingerprint)
        if found is None:
            return None
        refused = standing is QuarantineState.REFUSED
        seconds = REFUSED_SECONDS if refused else SUSPECT_SECONDS
        news = replace(
            found,
            standing=standing,
            seconds=seconds,
            crashes=found.crashes + refused,
        )
        return news if self.merge(news) else None

    def set_by_operator(
        self,
        fingerprint: str,
        account: str,
        seconds: float,
    ) -> QuarantineRecord:
        """Refuse or release a fingerprint by an operator's word."""
        found = self.find(fingerprint)
        news = QuarantineRecord(
            fingerprint=fingerprint,
            account=account,
            standing=QuarantineState.REFUSED
            if seconds > 0
            else QuarantineState.RELEASED,
            version=found.version + 1 if found else 1,
            seconds=seconds if seconds > 0 else REFUSED_SECONDS,
            crashes=found.crashes if found else 0,
        )
        self.merge(news)
        return news

    def _drop_old(self) -> None:
        if len(self._held) <= RECORD_LIMIT:
            return
        in_order = sorted(self._held, key=lambda name: self._held[name].until)
        for fingerprint in in_order[: len(in_order) // 10]:
            self._held.pop(fingerprint)


def _crashes_in_turn(found: QuarantineRecord | None) -> int:
    """Return the crashes since the request last ended well."""
    if found is None or found.standing is QuarantineState.CLEARED:
        return 0
    return found.crashes


def _rank(news: QuarantineRecord) -> tuple[int, int]:
    return news.version, news.standing
