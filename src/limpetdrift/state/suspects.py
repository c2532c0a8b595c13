"""Fingerprints of requests that endpoints crashed on, and their states."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import trio
from xxhash import xxh64_intdigest

from limpetdrift.protocol.quarantine import QuarantineRecord, QuarantineState

# How long a record of a suspect or a cleared request lasts.
SUSPECT_SECONDS = 30.0
# How long a refusal after a crash lasts, and the record of a release.
REFUSED_SECONDS = 600.0
# Maximum number of records. Above it the tenth that expires first is evicted.
RECORD_LIMIT = 10_000
_DIGEST_STATES = frozenset((QuarantineState.REFUSED, QuarantineState.RELEASED))


@dataclass(frozen=True, kw_only=True, slots=True)
class _StoredRecord:
    """A record with the trio time at which it expires."""

    record: QuarantineRecord
    until: float


class CrashSuspects:
    """The records that this entry holds of fingerprints, until they expire.

    Changes are returned as records to disseminate to the other entries.
    Records that are merged in any order, twice or late give the same state.
    """

    def __init__(self) -> None:
        self._stored: dict[str, _StoredRecord] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no record is held, not even an expired one."""
        return not self._stored

    @property
    def digest(self) -> int:
        """A hash over the refusals and releases, whatever their order."""
        total = 0
        for record in self.records_in(_DIGEST_STATES):
            text = f'{record.fingerprint}/{record.version}/{record.standing}'
            total ^= xxh64_intdigest(text.encode())
        return total

    def find(self, fingerprint: str) -> QuarantineRecord | None:
        """Return the record with its remaining seconds, unless expired."""
        stored = self._stored.get(fingerprint)
        if stored is None:
            return None
        remaining_seconds = stored.until - trio.current_time()
        return (
            replace(stored.record, seconds=remaining_seconds)
            if remaining_seconds > 0
            else None
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request may run only in isolation."""
        current = self.find(fingerprint)
        return (
            current is not None and current.standing is QuarantineState.SUSPECT
        )

    def records_in(self, standings: frozenset[QuarantineState]) -> Iterator:
        """Yield the records that are in any of the given states."""
        for fingerprint in list(self._stored):
            current = self.find(fingerprint)
            if current is not None and current.standing in standings:
                yield current

    def merge(self, record: QuarantineRecord) -> bool:
        """Merge a record; return whether it is newer than the held one."""
        current = self.find(record.fingerprint)
        if current is not None and _rank(record) <= _rank(current):
            return False
        until = trio.current_time() + record.seconds
        self._stored[record.fingerprint] = _StoredRecord(
            record=record, until=until
        )
        self._evict_first_expiring()
        return True

    def note_crash(
        self,
        fingerprint: str,
        account: str,
        endpoint: str,
    ) -> QuarantineRecord | None:
        """Make a suspect of a request that was on an endpoint that crashed.

        Return the new record, or ``None`` if the request is refused already.
        """
        current = self.find(fingerprint)
        if current is not None and current.standing is QuarantineState.REFUSED:
            return None
        record = QuarantineRecord(
            fingerprint=fingerprint,
            account=account,
            standing=QuarantineState.SUSPECT,
            version=current.version + 1 if current else 1,
            seconds=SUSPECT_SECONDS,
            endpoint=endpoint,
            crashes=_consecutive_crashes(current) + 1,
        )
        self.merge(record)
        return record

    def resolve_suspect(
        self,
        fingerprint: str,
        standing: QuarantineState,
    ) -> QuarantineRecord | None:
        """Clear a suspect that ran in isolation, or refuse it from now on.

        Return the new record, or ``None`` if nothing changed.
        """
        current = self.find(fingerprint)
        if current is None:
            return None
        refused = standing is QuarantineState.REFUSED
        seconds = REFUSED_SECONDS if refused else SUSPECT_SECONDS
        record = replace(
            current,
            standing=standing,
            seconds=seconds,
            crashes=current.crashes + refused,
        )
        return record if self.merge(record) else None

    def set_by_operator(
        self,
        fingerprint: str,
        account: str,
        seconds: float,
    ) -> QuarantineRecord:
        """Refuse a fingerprint for some seconds on an operator's request.

        Zero seconds release it.
        """
        current = self.find(fingerprint)
        record = QuarantineRecord(
            fingerprint=fingerprint,
            account=account,
            standing=QuarantineState.REFUSED
            if seconds > 0
            else QuarantineState.RELEASED,
            version=current.version + 1 if current else 1,
            seconds=seconds if seconds > 0 else REFUSED_SECONDS,
            crashes=current.crashes if current else 0,
        )
        self.merge(record)
        return record

    def _evict_first_expiring(self) -> None:
        if len(self._stored) <= RECORD_LIMIT:
            return
        by_expiry = sorted(
            self._stored, key=lambda name: self._stored[name].until
        )
        for fingerprint in by_expiry[: len(by_expiry) // 10]:
            self._stored.pop(fingerprint)


def _consecutive_crashes(current: QuarantineRecord | None) -> int:
    """Return the number of crashes since the request last succeeded."""
    if current is None or current.standing is QuarantineState.CLEARED:
        return 0
    return current.crashes


def _rank(record: QuarantineRecord) -> tuple[int, int]:
    return record.version, record.standing
