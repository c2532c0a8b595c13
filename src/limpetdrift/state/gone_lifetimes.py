"""Remembers endpoint lifetimes that went away.

A store that came back from an older copy may show them again. Such a lifetime
counts as back only once its row has been written after the return.
"""

from dataclasses import dataclass, replace

from limpetdrift.protocol.work import ListedEndpoint

# Number of lifetimes that are remembered. A copy is some seconds old, in which
# far fewer endpoints go.
MAX_LIFETIMES = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """The era in which a lifetime went, and its row's last known version.

    The version is ``None`` if no row of this lifetime was read here.
    """

    era: int
    row_version: int | None


def is_row_of_copy(departure: Departure, era: int, row_version: int) -> bool:
    """Return whether a row of a full read is taken for one of an older copy.

    A row that was written after the return has a higher version than those
    that the copy holds. If the last known version is unknown, each row of a
    full read in a later era is taken for one of the copy.

    >>> departure = Departure(era=1, row_version=7)
    >>> [is_row_of_copy(departure, 2, version) for version in (6, 7, 8)]
    [True, True, False]
    >>> is_row_of_copy(departure, 1, 7)
    False
    """
    if era <= departure.era:
        return False
    return departure.row_version is None or row_version <= departure.row_version


class GoneLifetimes:
    """The departures of the lifetimes that went last."""

    def __init__(self) -> None:
        self._departures: dict[tuple[str, int], Departure] = {}

    def add(self, endpoint: ListedEndpoint, departure: Departure) -> None:
        """Remember a lifetime that has gone."""
        self._departures.pop(endpoint.identity, None)
        self._departures[endpoint.identity] = departure
        if len(self._departures) > MAX_LIFETIMES:
            self._departures.pop(next(iter(self._departures)))

    def discard(self, endpoint: ListedEndpoint) -> None:
        """Forget a lifetime that is back."""
        self._departures.pop(endpoint.identity, None)

    def is_shown_by_copy(
        self, endpoint: ListedEndpoint, era: int, row_version: int
    ) -> bool:
        """Return whether a full read shows a gone lifetime only as a copy."""
        departure = self._departures.get(endpoint.identity)
        if departure is None or not is_row_of_copy(departure, era, row_version):
            return False
        if departure.row_version is None:
            # A higher version from now on shows that the row was written.
            self.add(endpoint, replace(departure, row_version=row_version))
        return True
