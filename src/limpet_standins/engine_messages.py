"""What engines are asked, and what they tell of themselves."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A hold on an engine that takes part in a group."""

    address: str
    hold_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamStart:
    """Asks for a stream of tokens."""

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
    """Asks for memory to be held for a part of a group."""

    hold_id: str
    tokens: int
    request_key: str = ''
    attempt: int = 1
    holder: str = ''
    incarnation: int = 0
    expires_in_seconds: float = 30


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldState:
    """What a hold has, as its engine tells the others of a group."""

    hold_id: str
    tokens: int
    expires_in_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Renewal:
    """Sets a new time to live, from now."""

    expires_in_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ExportStart:
    """Pins the KV cache of a stream."""

    stream_id: str
    expires_in_seconds: float = 30


@dataclass(frozen=True, kw_only=True, slots=True)
class ExportState:
    """The KV cache that an export pins."""

    export_id: str
    tokens: int
    blocks: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ImportStart:
    """Fetches another engine's export into a hold."""

    address: str
    export_id: str
    hold_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """A change of what the engine serves."""

    order_id: str
    fencing: int
    action: str
    model: str = ''
    version: str = ''
    adapter: str = ''
    role: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class AllocationState:
    """One thing that holds memory, as it is listed."""

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
    """An engine's sizes and speeds.

    ``chunk_tokens`` bounds the prefill work of one step. An order's work
    takes ``order_seconds``, or what the weight store needs where there is
    one.
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
