"""Remembers what is wrong with data from outside, so that it is logged once."""

# Number of writers whose faults are remembered, far above a sound fleet's.
MAX_KEYS = 1024
# Characters of a reason that are compared and logged. It may quote the data.
MAX_REASON_LENGTH = 200


class SeenFaults:
    """The last fault of each key, of the keys that had one last.

    >>> seen = SeenFaults()
    >>> [seen.is_new('a', reason) for reason in ('slots', 'slots', 'state')]
    [True, False, True]
    """

    def __init__(self) -> None:
        self._reasons: dict[str, str] = {}

    def __len__(self) -> int:
        """Return the number of keys that are remembered."""
        return len(self._reasons)

    def is_new(self, key: str, reason: str) -> bool:
        """Remember a fault; return whether it differs from the key's last."""
        found = reason[:MAX_REASON_LENGTH]
        is_known = self._reasons.pop(key, None) == found
        self._reasons[key] = found
        if len(self._reasons) > MAX_KEYS:
            self._reasons.pop(next(iter(self._reasons)))
        return not is_known

    def forget(self, key: str) -> None:
        """Forget the fault of a key whose data is sound, or gone."""
        self._reasons.pop(key, None)
