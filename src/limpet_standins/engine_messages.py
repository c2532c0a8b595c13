"""Defines the messages of the stand-in engine's interface and its settings."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A reservation (``hold``) on another engine, as a part of a group.

    The memory of a group's stream is spread over several engines.
    """

    address: str
    hold_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamStart:
    """Asks the engine to run a stream and send its tokens.

    ``holder`` and ``incarnation`` identify the process that owns the stream.
    The lowest ``priority`` runs first. ``start_offset`` and ``delivered``
    give the number and text of the tokens that an earlier attempt delivered.
    ``group`` lists the reservations that the stream uses on other engines.
    ``journal_key`` is only written to the journal.
    """

    stream_id: str
    model: str
    prompt: str
    max_tokens: int
    request_key: str = ''
    attempt: int = 1
    holder: str = ''
    incarnation: int = 0
    expires_in_seconds: float = 30
    priority: int = 0
    start_offset: int = 0
    delivered: str = ''
    group: tuple[Member, ...] = ()
    journal_key: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldStart:
    """Asks the engine to reserve memory for a part of a group."""

    hold_id: str
    tokens: int
    request_key: str = ''
    attempt: int = 1
    holder: str = ''
    incarnation: int = 0
    expires_in_seconds: float = 30


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldState:
    """A reservation, as its engine reports it to the group's other engines."""

    hold_id: str
    tokens: int
    expires_in_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Renewal:
    """Sets a reservation's time to live, counted from now."""

    expires_in_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ExportStart:
    """Asks the engine to keep the KV cache of a stream for other engines."""

    stream_id: str
    expires_in_seconds: float = 30


@dataclass(frozen=True, kw_only=True, slots=True)
class ExportState:
    """The KV cache that an export keeps, with its prefix blocks by hash."""

    export_id: str
    tokens: int
    blocks: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ImportStart:
    """Asks the engine to fetch another engine's export into a reservation."""

    address: str
    export_id: str
    hold_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """A change of the model, version, adapters or role of the engine.

    An engine that checks fencing refuses an order whose ``fencing`` number
    is below the highest that it has accepted.
    """

    order_id: str
    fencing: int
    action: str
    model: str = ''
    version: str = ''
    adapter: str = ''
    role: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class AllocationState:
    """An allocation of memory, as the engine lists it."""

    id: str
    kind: str
    request_key: str
    attempt: int
    holder: str
    incarnation: int
    tokens: int
    age_seconds: float
    expires_in_seconds: float
    finished: bool


@dataclass(frozen=True, kw_only=True)
class EngineSettings:
    """The model, sizes and speeds of an engine.

    ``chunk_tokens`` bounds the prefill work of one step, and
    ``step_seconds`` is the shortest duration of a step. Load and cache events
    are reported with a lag. Orders take ``order_seconds``; those that change
    weights take the transfer from the ``weight_store`` besides, if there is
    one. ``transfer_tokens_per_second`` is the speed of importing KV cache.
    """

    name: str = 'engine-1'
    model: str = 'drift-small'
    version: str = '1'
    role: str = 'mixed'
    address: str = ''
    memory_tokens: int = 131_072
    prefill_tokens_per_second: float = 8000
    chunk_tokens: int = 2048
    step_seconds: float = 0.02
    max_running: int = 32
    max_waiting: int = 64
    checks_fencing: bool = True
    load_lag_seconds: float = 0.5
    events_lag_seconds: float = 0.5
    order_seconds: float = 1.0
    weight_store: str = ''
    transfer_tokens_per_second: float = 200_000
    incarnation: int = 1
