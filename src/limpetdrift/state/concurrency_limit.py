"""Learns how many streams an engine runs concurrently."""

from dataclasses import dataclass

# Limit that is assumed of an engine before it reports.
INITIAL_STREAM_LIMIT = 32
# Increment of the limit while no streams wait.
_LIMIT_STEP_STREAMS = 8


@dataclass(kw_only=True, slots=True)
class EngineConcurrencyLimit:
    """The number of streams that an engine runs concurrently.

    An engine that reports waiting streams runs as many as it can. Until one
    does, the limit is raised whenever the engine runs as many as allowed.
    """

    streams: int = INITIAL_STREAM_LIMIT
    is_observed: bool = False

    def update(self, *, running: int, waiting: int) -> None:
        """Update the limit from the engine's reported numbers of streams."""
        if waiting and running:
            self.streams = running
            self.is_observed = True
        elif not self.is_observed and running >= self.streams:
            self.streams += _LIMIT_STEP_STREAMS
