"""Holds the state that the handlers and tasks of a stand-in engine share."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

from expression import Result

from limpet_standins.allocations import Allocations
from limpet_standins.cache_events import CacheEvents
from limpet_standins.controls import Controls
from limpet_standins.engine_messages import EngineSettings
from limpet_standins.kv_memory import KvMemory
from limpet_standins.scheduler import Scheduler
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.verdict import Failure

Fetch = Callable[[Address, Request], Awaitable[Result[Response, Failure]]]


class EngineCore:
    """Settings, memory, scheduler and served model of one engine.

    ``fetch`` calls another stand-in over HTTP, or within the process in
    tests.
    """

    def __init__(
        self,
        *,
        settings: EngineSettings,
        controls: Controls,
        fetch: Fetch,
    ) -> None:
        self.settings = settings
        self.controls = controls
        self.fetch = fetch
        self.model = settings.model
        self.version = settings.version
        self.role = settings.role
        self.adapters: list[str] = []
        self._started_at = time.monotonic()
        self.events = CacheEvents(
            lag_seconds=settings.events_lag_seconds,
            controls=controls,
        )
        self.memory = KvMemory(
            capacity_tokens=settings.memory_tokens,
            listener=self.events.add,
        )
        self.allocations = Allocations(memory=self.memory)
        self.scheduler = Scheduler(
            settings=settings,
            memory=self.memory,
            controls=controls,
        )

    def load(self) -> dict[str, Any]:
        """Return the current load, in the form in which it is reported."""
        settings = self.settings
        return {
            'model': self.model,
            'role': self.role,
            'version': self.version,
            'adapters': tuple(self.adapters),
            'memory_tokens': settings.memory_tokens,
            'held_tokens': self.memory.held_tokens,
            'cached_tokens': self.memory.cached_tokens,
            'running': self.scheduler.running,
            'waiting': self.scheduler.waiting,
            'queued_prefill_tokens': self.scheduler.queued_prefill_tokens,
            'leaving': self.controls.faults.leaving,
            'incarnation': settings.incarnation,
            'uptime_seconds': time.monotonic() - self._started_at,
            'prefill_tokens_per_second': settings.prefill_tokens_per_second,
            'step_seconds': settings.step_seconds,
        }
