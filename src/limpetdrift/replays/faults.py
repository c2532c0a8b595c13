"""Injects the faults of a replay into its engines."""

from collections.abc import Callable
from dataclasses import replace

import trio

from limpetdrift.replays.engines import Condition, Engine
from limpetdrift.replays.simulated_site import SimulatedSite
from limpetdrift.replays.workload import Fault, FaultKind

# Delay after which a crashed engine is removed from the list of endpoints.
LIST_DELAY_SECONDS = 2.0


async def inject_fault(site: SimulatedSite, fault: Fault) -> None:
    """Make a share of the engines fail, and repair them at the fault's end."""
    await trio.sleep(fault.at_seconds)
    randomness = site.make_random(fault.kind, fault.at_seconds)
    count = max(1, round(len(site.engines) * fault.share))
    engines = randomness.sample(list(site.engines.values()), count)
    for engine in engines:
        _START_FAULT[fault.kind](engine, fault)
    if fault.kind is FaultKind.GONE:
        await trio.sleep(LIST_DELAY_SECONDS)
        _unlist(site, engines)
        await trio.sleep(max(0, fault.for_seconds - LIST_DELAY_SECONDS))
        _restart(site, engines)
        return
    await trio.sleep(fault.for_seconds)
    for engine in engines:
        engine.condition = Condition()
        engine.notify_changed()


def _unlist(site: SimulatedSite, engines: list[Engine]) -> None:
    for view in site.views:
        for engine in engines:
            view.drop(engine.endpoint.name)


def _restart(site: SimulatedSite, engines: list[Engine]) -> None:
    for engine in engines:
        lifetime = engine.endpoint.lifetime + 1
        engine.endpoint = replace(engine.endpoint, lifetime=lifetime)
        engine.condition.alive = True
        for view in site.views:
            view.put(engine.endpoint)


def _crash(engine: Engine, fault: Fault) -> None:
    engine.crash()


def _hang(engine: Engine, fault: Fault) -> None:
    engine.condition.hanging = True


def _slow_down(engine: Engine, fault: Fault) -> None:
    engine.condition.pace = fault.times


def _fail(engine: Engine, fault: Fault) -> None:
    engine.condition.failing = True


_START_FAULT: dict[FaultKind, Callable[[Engine, Fault], None]] = {
    FaultKind.GONE: _crash,
    FaultKind.SILENT: _hang,
    FaultKind.SLOW: _slow_down,
    FaultKind.FAILING: _fail,
}
