"""The settings file that the platform gives to each process.

Only the fields that the program uses are read; others are passed over.
"""

import os
from dataclasses import dataclass
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from limpetdrift.transport.messages import Address, parse_address

SETTINGS_VARIABLE = 'LIMPETDRIFT_BOOT'
_MILLISECONDS = 1000.0


class _Listen(msgspec.Struct, kw_only=True):
    # ``front`` is where callers connect, ``control`` where peers do.
    front: str = ''
    ready: str = ''
    control: str = ''
    directory: str = ''


class _Limits(msgspec.Struct, kw_only=True, rename='camel'):
    cpu_share: float = 1.0
    cores: int = 1
    memory_mb: int = 300
    max_fds: int = 1024


class _Bounds(msgspec.Struct, kw_only=True, rename='camel'):
    drain_ms: float = 2000
    grace_s: float = 8
    config_apply_ms: float = 2000
    revoke_ms: float = 5000
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 20
    hold_max_ms: float = 20000
    ttl_max_s: float = 5


class _Store(msgspec.Struct, kw_only=True, rename='camel'):
    address: str
    reads_per_s: float = 2000
    writes_per_s: float = 400
    history_s: float = 20


class _File(msgspec.Struct, kw_only=True, rename='camel'):
    node_name: str
    listen: _Listen
    zone: str
    region: str
    platform: _Store
    zones: dict[str, str] = {}
    seeds: list[str] = []
    heartbeat_ms: float = 1200
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


@dataclass(frozen=True, kw_only=True, slots=True)
class Listeners:
    """Where the process listens; each may be missing."""

    callers: Address | None
    readiness: Address | None
    peers: Address | None
    directory: Address | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Promised times, in seconds, and the shared budget of retries.

    ``leaving_seconds`` is how soon a leaving endpoint gets nothing new,
    ``stop_seconds`` how long a process may take to stop, ``apply_seconds``
    how soon a configuration is in force, ``revoke_seconds`` how soon a key
    that was taken away is refused, ``hold_seconds`` the longest reservation,
    ``answer_age_seconds`` how long callers keep a directory answer at most.
    """

    leaving_seconds: float
    stop_seconds: float
    apply_seconds: float
    revoke_seconds: float
    retry_share: float
    retry_reserve: float
    hold_seconds: float
    answer_age_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSettings:
    """What a process learns at its start.

    ``seeds`` are peers' addresses that may be stale. ``cores`` is the share
    of a core that the machine gives, times their speed.
    """

    instance: str
    failure_domain: str
    region: str
    failure_domains: tuple[str, ...]
    listeners: Listeners
    seeds: tuple[Address, ...]
    store: Address
    heartbeat_seconds: float
    cores: float
    descriptors: int
    bounds: Bounds


def read_settings(
    path: str | None = None,
) -> Result[PlatformSettings, str]:
    """Read the file named by the argument or by the environment.

    The error side is one line that says what is wrong with it.
    """
    name = path or os.environ.get(SETTINGS_VARIABLE, '')
    if not name:
        return Error(f'{SETTINGS_VARIABLE} names no settings file')
    try:
        payload = Path(name).read_bytes()
    except OSError as error:
        return Error(f'{name}: {error.strerror}')
    return decode_settings(payload).map_error(lambda text: f'{name}: {text}')


def decode_settings(payload: bytes) -> Result[PlatformSettings, str]:
    """Decode the file's content.

    >>> decode_settings(b'{}').is_error()
    True
    """
    try:
        return Ok(_convert(msgspec.json.decode(payload, type=_File)))
    except (msgspec.DecodeError, ValueError) as error:
        return Error(str(error))


def _convert(file: _File) -> PlatformSettings:
    return PlatformSettings(
        instance=file.node_name,
        failure_domain=file.zone,
        region=file.region,
        failure_domains=tuple(sorted(file.zones)),
        listeners=Listeners(
            callers=_address(file.listen.front),
            readiness=_address(file.listen.ready),
            peers=_address(file.listen.control),
            directory=_address(file.listen.directory),
        ),
        seeds=tuple(parse_address(each) for each in file.seeds),
        store=parse_address(file.platform.address),
        heartbeat_seconds=file.heartbeat_ms / _MILLISECONDS,
        cores=file.limits.cpu_share * file.limits.cores,
        descriptors=file.limits.max_fds,
        bounds=_convert_bounds(file.bounds),
    )


def _convert_bounds(bounds: _Bounds) -> Bounds:
    return Bounds(
        leaving_seconds=bounds.drain_ms / _MILLISECONDS,
        stop_seconds=bounds.grace_s,
        apply_seconds=bounds.config_apply_ms / _MILLISECONDS,
        revoke_seconds=bounds.revoke_ms / _MILLISECONDS,
        retry_share=bounds.retry_budget_ratio,
        retry_reserve=bounds.retry_budget_slack,
        hold_seconds=bounds.hold_max_ms / _MILLISECONDS,
        answer_age_seconds=bounds.ttl_max_s,
    )


def _address(text: str) -> Address | None:
    return parse_address(text) if text else None
