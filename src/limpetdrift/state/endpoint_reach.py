"""Which endpoints this entry could not connect to since it last reached one."""

from collections.abc import Callable

from limpetdrift.logs import warn


class EndpointReach:
    """The endpoints that are out of reach; ``clock`` returns seconds.

    Only new connections count: those that are open may outlive a link.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._missed: set[tuple[str, int]] = set()
        self._reached_at = float('-inf')

    @property
    def missed(self) -> frozenset[tuple[str, int]]:
        """The endpoints that were not reached since another one was."""
        return frozenset(self._missed)

    def record_reached(self) -> None:
        """Record that an endpoint accepted a connection and answered."""
        self._reached_at = self._clock()
        self._missed.clear()

    def record_missed(self, identity: tuple[str, int]) -> None:
        """Record that no connection to an endpoint could be used."""
        if identity in self._missed:
            return
        self._missed.add(identity)
        warn(
            'endpoint not reached',
            endpoint=identity[0],
            missed=len(self._missed),
            seconds_since_reached=round(self._clock() - self._reached_at, 3),
        )
