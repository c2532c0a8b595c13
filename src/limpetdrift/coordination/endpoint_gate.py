"""Applies what endpoints signal in their answers.

An endpoint that leaves says so in any of its answers, often before the
platform's list does.
"""

from collections.abc import Callable
from dataclasses import dataclass

from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import ANSWER_SOURCE, EndpointView


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointSignals:
    """What an answer says about the endpoint apart from the request.

    ``leaving`` means that this lifetime takes no new work.
    """

    leaving: bool = False


ApplySignals = Callable[[ListedEndpoint, EndpointSignals], None]


def make_signal_handler(
    view: EndpointView,
    announce_leaving: Callable[[ListedEndpoint], None],
) -> ApplySignals:
    """Return the function that applies the signals of an endpoint's answer.

    The endpoint is the one to which the request was sent, so that an answer
    of an earlier lifetime does not affect a later one. ``announce_leaving``
    tells other entries.
    """

    def apply(endpoint: ListedEndpoint, signals: EndpointSignals) -> None:
        if signals.leaving and view.mark_leaving(endpoint, ANSWER_SOURCE):
            announce_leaving(endpoint)

    return apply
