"""Keeps the order in which an entry considers the engines of a group."""

from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.protocol.plans import EngineGroup, PlanRequest
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView


class EngineOrders:
    """The usable engines of each group, in an order specific to an entry.

    With an order common to all entries, those that plan alone would fill the
    same engines. The orders are computed once for each list of engines.
    """

    def __init__(self, *, name: str, view: EndpointView) -> None:
        self._name = name
        self._view = view
        self._orders: dict[
            tuple[str, EngineGroup], tuple[ListedEndpoint, ...]
        ] = {}
        self._version = -1

    def candidates(self, request: PlanRequest) -> tuple[ListedEndpoint, ...]:
        """Return the engines that a plan may use."""
        ordered = self._ordered_engines(request.service, request.group)
        if not request.excluded:
            return ordered
        excluded = {(each.name, each.lifetime) for each in request.excluded}
        return tuple(each for each in ordered if each.identity not in excluded)

    def _ordered_engines(
        self, service: str, group: EngineGroup
    ) -> tuple[ListedEndpoint, ...]:
        """Return all usable engines of a group."""
        if self._view.version != self._version:
            self._orders.clear()
            self._version = self._view.version
        found = self._orders.get((service, group))
        if found is None:
            by_name = {
                each.name: each
                for each in self._view.usable(service)
                if group.contains(each.failure_domain, each.name)
            }
            names = choose_by_hash(self._name, by_name, len(by_name))
            found = tuple(by_name[name] for name in names)
            self._orders[(service, group)] = found
        return found
