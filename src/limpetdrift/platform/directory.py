"""Tells callers which entries to use, and the platform who is ready."""

from collections.abc import Callable
from dataclasses import dataclass

from limpetdrift.protocol.codec import json_response
from limpetdrift.protocol.node import Node
from limpetdrift.transport.messages import OK, UNAVAILABLE, Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange

# The most addresses that a caller reads.
ADDRESS_LIMIT = 64
# Callers of a failure domain stay there while it has so many entries.
NEAR_ENTRIES = 2

Entries = Callable[[], tuple[Node, ...]]


@dataclass(frozen=True, kw_only=True)
class DirectoryInputs:
    """What the answers are made of; the age is in seconds."""

    entries: Entries
    is_ready: Callable[[], bool]
    max_age_seconds: float


def add_directory_routes(routes: Routes, answers: DirectoryInputs) -> None:
    """Serve the callers' question for addresses."""

    async def resolve(exchange: Exchange, parameters: Parameters) -> None:
        near = exchange.request.query.get('zone', '')
        chosen = choose_entries(answers.entries(), near)
        if not chosen:
            await exchange.respond(Response(status=UNAVAILABLE))
            return
        await exchange.respond(
            json_response(
                {
                    'addresses': [str(each.caller_address) for each in chosen],
                    'ttlS': answers.max_age_seconds,
                },
            ),
        )

    routes.add('GET', '/-/resolve', resolve)


def add_readiness_routes(routes: Routes, answers: DirectoryInputs) -> None:
    """Serve the platform's question whether callers may come."""

    async def readiness(exchange: Exchange, parameters: Parameters) -> None:
        status = OK if answers.is_ready() else UNAVAILABLE
        await exchange.respond(Response(status=status))

    routes.add('GET', '/-/readiness', readiness)


def choose_entries(
    entries: tuple[Node, ...],
    failure_domain: str,
) -> tuple[Node, ...]:
    """Return the entries to name to a caller in a failure domain.

    Its own domain's are enough where there are some, since bytes between
    domains are slow and dear; else all are named.
    """
    near = tuple(
        each for each in entries if each.failure_domain == failure_domain
    )
    chosen = near if len(near) >= NEAR_ENTRIES else entries
    return tuple(sorted(chosen, key=lambda each: each.name))[:ADDRESS_LIMIT]
