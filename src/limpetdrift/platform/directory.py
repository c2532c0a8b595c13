"""Serves the directory of entries to callers, and the readiness probe."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from limpetdrift.protocol.codec import json_response
from limpetdrift.protocol.node import Node
from limpetdrift.transport.messages import OK, UNAVAILABLE, Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange

# Maximum number of addresses in an answer; callers read no more.
MAX_ADDRESSES = 64
# Minimum number of entries in the caller's failure domain for an answer that
# lists only these.
MIN_LOCAL_ENTRIES = 2

ListEntries = Callable[[], tuple[Node, ...]]


@dataclass(frozen=True, kw_only=True)
class DirectoryInputs:
    """What the directory and the readiness probe answer.

    ``entries`` returns the entries that can serve callers, ``is_ready``
    whether this one can. Callers may use an answer for ``max_age_seconds``.
    ``randomness`` samples the entries of a longer list.
    """

    entries: ListEntries
    randomness: Random
    is_ready: Callable[[], bool]
    max_age_seconds: float


def add_directory_routes(routes: Routes, inputs: DirectoryInputs) -> None:
    """Serve ``GET /-/resolve``, the callers' look-up of entries."""

    async def resolve(exchange: Exchange, parameters: Parameters) -> None:
        failure_domain = exchange.request.query.get('zone', '')
        chosen = choose_entries(
            inputs.entries(), failure_domain, inputs.randomness
        )
        if not chosen:
            await exchange.respond(Response(status=UNAVAILABLE))
            return
        await exchange.respond(
            json_response(
                {
                    'addresses': [str(each.caller_address) for each in chosen],
                    'ttlS': inputs.max_age_seconds,
                },
            ),
        )

    routes.add('GET', '/-/resolve', resolve)


def add_readiness_routes(routes: Routes, inputs: DirectoryInputs) -> None:
    """Serve ``GET /-/readiness``, the platform's readiness probe."""

    async def readiness(exchange: Exchange, parameters: Parameters) -> None:
        status = OK if inputs.is_ready() else UNAVAILABLE
        await exchange.respond(Response(status=status))

    routes.add('GET', '/-/readiness', readiness)


def choose_entries(
    entries: tuple[Node, ...],
    failure_domain: str,
    randomness: Random,
) -> tuple[Node, ...]:
    """Return the entries to list for a caller in a failure domain.

    Only those of its own domain are listed if there are enough, since traffic
    between domains is slow and expensive; otherwise all are. Of more entries
    than an answer can hold, a new random sample is listed each time. A fixed
    one would leave the rest of a large deployment without callers.
    """
    local = tuple(
        each for each in entries if each.failure_domain == failure_domain
    )
    chosen = local if len(local) >= MIN_LOCAL_ENTRIES else entries
    if len(chosen) > MAX_ADDRESSES:
        chosen = tuple(randomness.sample(chosen, MAX_ADDRESSES))
    return tuple(sorted(chosen, key=lambda each: each.name))
