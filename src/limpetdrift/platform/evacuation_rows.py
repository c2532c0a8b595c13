"""Decodes the operators' rows that evacuate failure domains.

The key of such a row names the failure domain. The evacuation lasts until the
row is removed; its value doesn't matter.
"""

from collections.abc import Iterable

from limpetdrift.platform.store import StoredRow

_KEY_PREFIX = 'evacuate/'


def decode_evacuations(rows: Iterable[StoredRow]) -> dict[str, bool]:
    """Return the failure domains that rows name, and if they are evacuated.

    Other rows are skipped.
    """
    return {
        row.key.removeprefix(_KEY_PREFIX): row.value is not None
        for row in rows
        if row.key.startswith(_KEY_PREFIX) and row.key != _KEY_PREFIX
    }
