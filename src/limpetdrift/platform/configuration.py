"""Decodes the operators' configuration document into a route table.

Fields of the document that the program does not use are ignored.
"""

from typing import Literal

import msgspec
from expression import Result

from limpetdrift.protocol.bounded import BoundedFloat, BoundedInt
from limpetdrift.protocol.codec import decode_json
from limpetdrift.protocol.route_table import (
    Account,
    CallerLimits,
    EngineCostModel,
    RequestKind,
    Route,
    RouteTable,
    Service,
    ServiceShare,
)

_MILLISECONDS = 1000.0
_PAIRS_PER_MILLION = 1_000_000.0
_THOUSAND_TOKENS = 1000.0
# Costs are divided by the target latency, and by the figures of an engine.
_MIN_TARGET_MILLISECONDS = 1.0
_MIN_ENGINE_FIGURE = 1
# Callers disconnect from a stream after this time without an event, or after
# these multiples of the route's target latency and longest pause, whichever is
# longest.
_MIN_PATIENCE_SECONDS = 2.0
_PATIENCE_PER_TARGET_LATENCY = 4
_PATIENCE_PER_PAUSE = 8
_KINDS = {
    'idempotent': RequestKind.IDEMPOTENT,
    'non_idempotent': RequestKind.NON_IDEMPOTENT,
    'streaming': RequestKind.STREAMING,
}


class _Share(msgspec.Struct, kw_only=True):
    service: str
    weight: BoundedFloat = 1.0


class _Route(msgspec.Struct, kw_only=True, rename='camel'):
    name: str
    host: str
    path_prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'streaming']
    timeout_ms: BoundedFloat = 10000
    target_latency_ms: BoundedFloat = 1000
    priority: BoundedInt = 0
    # A route has one service, or several with weights in ``traffic_split``.
    service: str = ''
    traffic_split: list[_Share] = []
    max_attempts: BoundedInt = 1
    public: bool = False
    resumable: bool = False
    # The longest pause between two events of a stream that is on time.
    gap_target_ms: BoundedFloat = 1000


class _UsualRequest(msgspec.Struct, kw_only=True):
    # Tokens of a typical answer.
    answer: BoundedFloat = 0


class _Engine(msgspec.Struct, kw_only=True):
    # On the wire some of these names are in snake case and some in camel case.
    slots: BoundedInt = 8
    # Size of the key-value cache, in tokens.
    kv_capacity: BoundedInt = msgspec.field(default=0, name='kvCapacity')
    # Decode steps in one pass.
    stride: BoundedInt = 1
    # Time of a decode step, and what each stream adds to it.
    step_ms: BoundedFloat = 1
    per_seq_ms: BoundedFloat = 0
    # Milliseconds that each thousand tokens of context add to a decode step.
    context_per_k: BoundedFloat = 0
    # Prefill rate, in tokens per second.
    read_per_s: BoundedFloat = 100000
    # Milliseconds of prefill for each million pairs of tokens.
    pairs_per_m: BoundedFloat = 0
    # Prefill tokens that a decode step may process as well.
    chunk: BoundedInt = 2048
    usual: _UsualRequest = msgspec.field(default_factory=_UsualRequest)


class _Service(msgspec.Struct, kw_only=True):
    name: str
    engine: _Engine | None = None
    health_path: str = msgspec.field(default='', name='healthPath')
    # Time for which an endpoint is cold after its start, and the requests a
    # second that it can handle then, 0 without a bound.
    cold_start_s: BoundedFloat = msgspec.field(default=0, name='coldStartS')
    cold_per_s: BoundedFloat = msgspec.field(default=0, name='coldPerS')


class _Account(msgspec.Struct, kw_only=True, rename='camel'):
    name: str
    api_keys: list[str] = []
    priority: BoundedInt | None = None


class _Limits(msgspec.Struct, kw_only=True, rename='camel'):
    max_header_bytes: BoundedInt = 16384
    max_body_bytes: BoundedInt = 4194304
    header_timeout_ms: BoundedFloat = 3000
    idle_timeout_ms: BoundedFloat = 15000


class _Document(msgspec.Struct, kw_only=True):
    version: BoundedInt
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Client accounts; where the field is missing, no route needs a key.
    tenants: list[_Account] | None = None


def decode_route_table(payload: bytes) -> Result[RouteTable, str]:
    """Decode a whole document, or return what is wrong with it.

    >>> decode_route_table(b'{"version": 3}').ok.version
    3
    """
    return (
        decode_json(payload, _Document)
        .map(_convert)
        .map_error(lambda detail: f'configuration: {detail}')
    )


def _convert(document: _Document) -> RouteTable:
    return RouteTable(
        version=document.version,
        routes=tuple(_convert_route(route) for route in document.routes),
        services=tuple(
            Service(
                name=each.name,
                engine=_convert_engine(each.engine),
                health_path=each.health_path,
                cold_start_seconds=each.cold_start_s,
                cold_requests_per_second=each.cold_per_s,
            )
            for each in document.services
        ),
        accounts=tuple(
            Account(
                name=each.name,
                keys=tuple(each.api_keys),
                priority=each.priority,
            )
            for each in document.tenants or ()
        ),
        limits=_convert_limits(document.limits),
        requires_keys=document.tenants is not None,
    )


def _convert_route(route: _Route) -> Route:
    shares = tuple(
        ServiceShare(service=each.service, weight=each.weight)
        for each in route.traffic_split
    )
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        kind=_KINDS[route.kind],
        timeout_seconds=route.timeout_ms / _MILLISECONDS,
        target_seconds=max(_MIN_TARGET_MILLISECONDS, route.target_latency_ms)
        / _MILLISECONDS,
        shares=shares or (ServiceShare(service=route.service),),
        priority=route.priority,
        attempt_limit=route.max_attempts,
        public=route.public,
        resumable=route.resumable,
        pause_seconds=route.gap_target_ms / _MILLISECONDS,
        patience_seconds=max(
            _MIN_PATIENCE_SECONDS,
            _PATIENCE_PER_TARGET_LATENCY
            * route.target_latency_ms
            / _MILLISECONDS,
            _PATIENCE_PER_PAUSE * route.gap_target_ms / _MILLISECONDS,
        ),
    )


def _convert_engine(engine: _Engine | None) -> EngineCostModel | None:
    if engine is None:
        return None
    return EngineCostModel(
        slots=max(_MIN_ENGINE_FIGURE, engine.slots),
        memory_tokens=engine.kv_capacity,
        step_seconds=engine.step_ms / _MILLISECONDS,
        stream_seconds=engine.per_seq_ms / _MILLISECONDS,
        context_seconds=engine.context_per_k / _MILLISECONDS / _THOUSAND_TOKENS,
        read_tokens_per_second=max(_MIN_ENGINE_FIGURE, engine.read_per_s),
        pair_seconds=engine.pairs_per_m / _MILLISECONDS / _PAIRS_PER_MILLION,
        chunk_tokens=max(_MIN_ENGINE_FIGURE, engine.chunk),
        stride=max(_MIN_ENGINE_FIGURE, engine.stride),
        usual_answer_tokens=int(engine.usual.answer),
    )


def _convert_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        head_seconds=limits.header_timeout_ms / _MILLISECONDS,
        idle_seconds=limits.idle_timeout_ms / _MILLISECONDS,
    )
