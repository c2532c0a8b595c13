"""Plans the orders that bring engines to the site's configuration.

Each round makes a new plan from the engines' observed states, so no earlier
orders need to be stored. An order that takes an engine out of service is
planned only while its model has more serving engines than configured copies.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.orders import Action, EngineState
from limpetdrift.state.site import ModelConfig

_SEPARATOR = '|'


@dataclass(frozen=True, kw_only=True, slots=True)
class ObservedEngine:
    """An engine's state as read; ``busy`` while an order to it is pending."""

    endpoint: Endpoint
    state: EngineState
    busy: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedOrder:
    """An order that is due, without its fencing number."""

    endpoint: Endpoint
    action: Action
    model: str
    version: str
    adapter: str = ''

    def is_fulfilled_in(self, state: EngineState) -> bool:
        """Return whether the engine's state shows the order's effect."""
        actual = (state.model, state.version)
        if actual != (self.model, self.version):
            return False
        return not self.adapter or self.adapter in state.adapters

    def make_id(self, fencing: int) -> str:
        """Return an id with the action, model, version and fencing number.

        Engines report it as ``loading`` while they carry out the order.
        """
        return _SEPARATOR.join(
            (self.action, self.model, self.version, str(fencing)),
        )


def plan_orders(
    models: Mapping[str, ModelConfig],
    engines: tuple[ObservedEngine, ...],
) -> tuple[PlannedOrder, ...]:
    """Return the orders that may be sent now, the most urgent first.

    ``models`` is the configuration by model name.
    """
    plan = _Plan(models=models, engines=engines)
    for name in sorted(models):
        plan.add_missing(name)
    for outdated in sorted(models):
        plan.update_version(outdated)
    for served in sorted(models):
        plan.add_adapters(served)
    return tuple(plan.orders)


def loading_model(engine: ObservedEngine) -> str:
    """Return the model that an engine is loading, or an empty string.

    An adapter doesn't count, since its engine stays in service.
    """
    action, _, rest = engine.state.loading.partition(_SEPARATOR)
    if action in {'', Action.LOAD_ADAPTER}:
        return ''
    return rest.partition(_SEPARATOR)[0]


class _Plan:
    """The orders of one round, and the engines that can still get one."""

    def __init__(
        self,
        *,
        models: Mapping[str, ModelConfig],
        engines: tuple[ObservedEngine, ...],
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
        """Load a model on spare engines while it has too few copies.

        An engine whose order shows no effect yet counts as a copy to come.
        """
        configured = self._models[name].copies
        loading = sum(loading_model(engine) == name for engine in self._engines)
        unconfirmed = sum(
            engine.busy and not engine.state.loading for engine in self._engines
        )
        missing = configured - len(self._serving[name]) - loading - unconfirmed
        for _ in range(missing):
            self._load_on_spare(name)

    def update_version(self, name: str) -> None:
        """Order the configured version for outdated engines of a model.

        Only engines beyond the configured copies are updated at once. If
        there are none, the model is first loaded on a spare engine.
        """
        configured = self._models[name]
        outdated = [
            engine
            for engine in self._serving[name]
            if engine.state.version != configured.version and not engine.busy
        ]
        spare = len(self._serving[name]) - configured.copies
        for chosen in outdated[: max(0, spare)]:
            self._serving[name].remove(chosen)
            self._add(chosen, Action.SET_VERSION, name)
        under_way = any(other.busy for other in self._engines)
        if outdated and spare <= 0 and not under_way and not self.orders:
            self._load_on_spare(name)

    def add_adapters(self, name: str) -> None:
        """Load missing adapters on a model's engines, which stay in service.

        Each engine gets one adapter a round.
        """
        for engine in self._serving[name]:
            missing = [
                adapter
                for adapter in self._models[name].adapters
                if adapter not in engine.state.adapters
            ]
            up_to_date = engine.state.version == self._models[name].version
            if missing and up_to_date and not engine.busy:
                self._add(engine, Action.LOAD_ADAPTER, name, missing[0])

    def _find_serving(self, name: str) -> list[ObservedEngine]:
        return [
            engine
            for engine in self._engines
            if engine.state.model == name and not _is_out_of_service(engine)
        ]

    def _load_on_spare(self, name: str) -> None:
        engine = self._pop_spare(name)
        if engine is not None:
            self._add(engine, Action.LOAD_MODEL, name)

    def _pop_spare(self, name: str) -> ObservedEngine | None:
        if self._idle:
            return self._idle.pop()
        for other, serving in self._serving.items():
            spare = len(serving) - self._models[other].copies
            available = [engine for engine in serving if not engine.busy]
            if other != name and spare > 0 and available:
                serving.remove(available[-1])
                return available[-1]
        return None

    def _add(
        self,
        engine: ObservedEngine,
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


def _is_out_of_service(engine: ObservedEngine) -> bool:
    """Return whether an order may have taken the engine out of service."""
    if engine.state.loading:
        return not engine.state.loading.startswith(Action.LOAD_ADAPTER)
    return engine.busy
