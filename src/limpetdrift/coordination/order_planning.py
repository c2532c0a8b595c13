"""Which orders bring engines to what the site's configuration wants.

The plan is made anew each round from what the engines show, so it needs no
memory of earlier orders. An order that takes an engine out of service is
planned only while its model has more serving engines than wanted copies.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.orders import Action, EngineState
from limpetdrift.state.site import ModelConfig

_SEPARATOR = '|'


@dataclass(frozen=True, kw_only=True, slots=True)
class SeenEngine:
    """An engine as read; ``busy`` while an order to it is under way."""

    endpoint: Endpoint
    state: EngineState
    busy: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedOrder:
    """An order to be sent, without its fencing number."""

    endpoint: Endpoint
    action: Action
    model: str
    version: str
    adapter: str = ''

    def is_shown(self, state: EngineState) -> bool:
        """Whether the engine shows what the order asked for."""
        served = (state.model, state.version)
        if served != (self.model, self.version):
            return False
        return not self.adapter or self.adapter in state.adapters

    def make_id(self, fencing: int) -> str:
        """Return an id that says, as ``loading``, what is under way."""
        return _SEPARATOR.join(
            (self.action, self.model, self.version, str(fencing)),
        )


def plan_orders(
    models: Mapping[str, ModelConfig],
    engines: tuple[SeenEngine, ...],
) -> tuple[PlannedOrder, ...]:
    """Return the orders that may go out now, the most needed first."""
    plan = _Plan(models=models, engines=engines)
    for name in sorted(models):
        plan.add_missing(name)
    for outdated in sorted(models):
        plan.update_version(outdated)
    for served in sorted(models):
        plan.add_adapters(served)
    return tuple(plan.orders)


def coming_model(engine: SeenEngine) -> str:
    """Return the model that an engine is loading, or nothing."""
    action, _, rest = engine.state.loading.partition(_SEPARATOR)
    if action in {'', Action.LOAD_ADAPTER}:
        return ''
    return rest.partition(_SEPARATOR)[0]


class _Plan:
    """The engines that are still free to take an order in this round."""

    def __init__(
        self,
        *,
        models: Mapping[str, ModelConfig],
        engines: tuple[SeenEngine, ...],
    ) -> None:
        self.orders: list[PlannedOrder] = []
        self._models = models
        self._engines = engines
        self._serving = {name: self._find_serving(name) for name in models}
        self._idle = [
            engine
            for engine in engines
            if not engine.busy and engine.state.model not in models
        ]

    def add_missing(self, name: str) -> None:
        """Load a model on more engines while it has too few copies."""
        wanted = self._models[name].copies
        coming = sum(coming_model(engine) == name for engine in self._engines)
        unsure = sum(
            engine.busy and not engine.state.loading for engine in self._engines
        )
        missing = wanted - len(self._serving[name]) - coming - unsure
        for _ in range(missing):
            self._load_on_spare(name)

    def update_version(self, name: str) -> None:
        """Bring a model's engines to its version, a few at a time."""
        wanted = self._models[name]
        outdated = [
            engine
            for engine in self._serving[name]
            if engine.state.version != wanted.version and not engine.busy
        ]
        spare = len(self._serving[name]) - wanted.copies
        for chosen in outdated[: max(0, spare)]:
            self._serving[name].remove(chosen)
            self._add(chosen, Action.SET_VERSION, name)
        under_way = any(other.busy for other in self._engines)
        if outdated and spare <= 0 and not under_way and not self.orders:
            self._load_on_spare(name)

    def add_adapters(self, name: str) -> None:
        """Load the adapters that a model's engines lack; they serve on."""
        for engine in self._serving[name]:
            lacking = [
                adapter
                for adapter in self._models[name].adapters
                if adapter not in engine.state.adapters
            ]
            current = engine.state.version == self._models[name].version
            if lacking and current and not engine.busy:
                self._add(engine, Action.LOAD_ADAPTER, name, lacking[0])

    def _find_serving(self, name: str) -> list[SeenEngine]:
        return [
            engine
            for engine in self._engines
            if engine.state.model == name and not _is_out(engine)
        ]

    def _load_on_spare(self, name: str) -> None:
        engine = self._take_spare(name)
        if engine is not None:
            self._add(engine, Action.LOAD_MODEL, name)

    def _take_spare(self, name: str) -> SeenEngine | None:
        if self._idle:
            return self._idle.pop()
        for other, serving in self._serving.items():
            spare = len(serving) - self._models[other].copies
            free = [engine for engine in serving if not engine.busy]
            if other != name and spare > 0 and free:
                serving.remove(free[-1])
                return free[-1]
        return None

    def _add(
        self,
        engine: SeenEngine,
        action: Action,
        name: str,
        adapter: str = '',
    ) -> None:
        self.orders.append(
            PlannedOrder(
                endpoint=engine.endpoint,
                action=action,
                model=name,
                version=self._models[name].version,
                adapter=adapter,
            ),
        )


def _is_out(engine: SeenEngine) -> bool:
    """Whether an order may have taken the engine out of service."""
    if engine.state.loading:
        return not engine.state.loading.startswith(Action.LOAD_ADAPTER)
    return engine.busy
