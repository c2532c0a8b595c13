"""Samples the load of engines and processors during a run."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import trio

from limpetdrift.loads.experiment import RunSpec
from limpetdrift.loads.records import Sample
from limpetdrift.protocol.engine_management import (
    EngineLoad,
    EngineManagementCalls,
    make_engine_management_calls,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address

SAMPLE_INTERVAL_SECONDS = 1.0
_PROCESSOR_TIMES = Path('/proc/stat')
# Columns ``idle`` and ``iowait``.
_IDLE_FIELDS = slice(3, 5)


@dataclass(kw_only=True, slots=True)
class IdleShareMeter:
    """Measures the share of time that this machine's processors are idle."""

    _idle: int = 0
    _total: int = 0

    def read_idle_share(self) -> float:
        """Return the share since the last call, or 0 without ``/proc/stat``.

        The first call covers the time since the machine started.
        """
        if not _PROCESSOR_TIMES.exists():
            return 0
        line = _PROCESSOR_TIMES.read_text('ascii').partition('\n')[0]
        times = [int(each) for each in line.split()[1:]]
        idle, total = sum(times[_IDLE_FIELDS]), sum(times)
        share = (idle - self._idle) / max(1, total - self._total)
        self._idle = idle
        self._total = total
        return share


@dataclass(kw_only=True)
class Sampler:
    """Takes samples at intervals of ``SAMPLE_INTERVAL_SECONDS``.

    ``started_at`` is the trio time at which the run began.
    """

    case: RunSpec
    engines: tuple[Address, ...]
    in_flight: Callable[[], int]
    started_at: float
    meter: IdleShareMeter = field(default_factory=IdleShareMeter)
    calls: EngineManagementCalls = field(
        default_factory=lambda: make_engine_management_calls(HttpClient())
    )
    samples: list[Sample] = field(default_factory=list)

    async def run(self) -> None:
        """Take samples until cancelled."""
        self.meter.read_idle_share()
        while True:
            await trio.sleep(SAMPLE_INTERVAL_SECONDS)
            await self.take()

    async def take(self) -> None:
        """Take one sample; engines that don't answer are left out of it."""
        loads: list[EngineLoad] = []
        async with trio.open_nursery() as nursery:
            for address in self.engines:
                nursery.start_soon(_add_load, self.calls.load, address, loads)
        at = trio.current_time() - self.started_at
        self._add(at, self.meter.read_idle_share(), loads)

    def _add(self, at: float, idle: float, loads: list[EngineLoad]) -> None:
        self.samples.append(
            Sample(
                case=self.case,
                at=at,
                in_flight=self.in_flight(),
                running=sum(each.running for each in loads),
                waiting=sum(each.waiting for each in loads),
                queued_tokens=sum(each.queued_prefill_tokens for each in loads),
                held_tokens=sum(each.held_tokens for each in loads),
                memory_tokens=sum(each.memory_tokens for each in loads),
                idle_share=idle,
            ),
        )


async def _add_load(
    read_load, address: Address, loads: list[EngineLoad]
) -> None:
    load = await read_load(address)
    if load.is_ok():
        loads.append(load.ok)
