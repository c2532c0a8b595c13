"""How many streams an engine runs beside each other."""

from dataclasses import dataclass

FIRST_RUNNING_LIMIT = 32
_MORE_RUNNING = 8


@dataclass(kw_only=True, slots=True)
class EngineConcurrencyLimit:
    """How many streams an engine runs beside each other, learnt from it.

    An engine that has streams wait shows its limit; until then the limit
    grows while the engine runs about as many as it may get.
    """

    streams: int = FIRST_RUNNING_LIMIT
    known: bool = False

    def take(self, *, running: int, waiting: int) -> None:
        """Follow what the engine reports."""
        if waiting and running:
            self.streams = running
            self.known = True
        elif not self.known and running >= self.streams:
            self.streams += _MORE_RUNNING
