"""Decodes the settings file that the platform gives to each process.

Unknown fields are ignored.
"""

import os
from dataclasses import dataclass
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from limpetdrift.protocol.codec import decode_json
from limpetdrift.transport.messages import Address, parse_address

SETTINGS_VARIABLE = 'LIMPETDRIFT_BOOT'
_MILLISECONDS = 1000.0
_MEGABYTE = 1_000_000


class _Listen(msgspec.Struct, kw_only=True):
    # Address for callers.
    front: str = ''
    # Address for the readiness probe.
    ready: str = ''
    # Address for peers.
    control: str = ''
    directory: str = ''


class _Limits(msgspec.Struct, kw_only=True, rename='camel'):
    # Share of one core of the instance.
    cpu_share: float = 1.0
    # Relative speed of that core.
    cores: int = 1
    memory_mb: int = 300
    max_fds: int = 1024


class _Bounds(msgspec.Struct, kw_only=True, rename='camel'):
    # Time within which a leaving endpoint gets no new requests.
    drain_ms: float = 2000
    # Time within which a process must stop.
    grace_s: float = 8
    config_apply_ms: float = 2000
    revoke_ms: float = 5000
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 20
    hold_max_ms: float = 20000
    # How long callers may use a directory answer.
    ttl_max_s: float = 5


class _Store(msgspec.Struct, kw_only=True, rename='camel'):
    address: str
    reads_per_s: float = 2000
    writes_per_s: float = 400
    history_s: float = 20


class _SettingsFile(msgspec.Struct, kw_only=True, rename='camel'):
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
    """The addresses at which the process listens; each is optional."""

    callers: Address | None
    readiness: Address | None
    peers: Address | None
    directory: Address | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """The times that the platform demands, and its retry budget.

    ``leaving_seconds`` is the time within which a leaving endpoint gets no new
    requests, ``stop_seconds`` that within which a process must stop,
    ``apply_seconds`` that within which a configuration must be in force, and
    ``revoke_seconds`` that within which a revoked key must be refused.
    ``hold_seconds`` is the longest reservation, and ``answer_age_seconds`` the
    longest time for which callers use a directory answer. All entries share
    a retry budget: each request earns ``retry_share`` of a retry, and at most
    ``retry_reserve`` unused ones are kept.
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
    """The decoded settings of one process.

    ``seeds`` are peers' addresses, which may be outdated. ``cores`` is the
    processor capacity of the process, in units of one core of relative speed
    1; ``memory_bytes`` is the memory of its machine, and ``descriptors`` its
    limit of open file descriptors.
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
    memory_bytes: int
    descriptors: int
    bounds: Bounds


def read_settings(
    path: str | None = None,
) -> Result[PlatformSettings, str]:
    """Read the file at ``path``, or else the one that the environment names.

    The error is one line that names the file and what is wrong with it.
    """
    name = path or os.environ.get(SETTINGS_VARIABLE, '')
    if not name:
        return Error(
            f'{SETTINGS_VARIABLE} is not set to the path of a settings file'
        )
    try:
        payload = Path(name).read_bytes()
    except OSError as error:
        return Error(f'{name}: {error.strerror}')
    return decode_settings(payload).map_error(lambda text: f'{name}: {text}')


def decode_settings(payload: bytes) -> Result[PlatformSettings, str]:
    """Decode the content of a settings file.

    >>> decode_settings(b'{}').is_error()
    True
    """
    return decode_json(payload, _SettingsFile).bind(_convert_checked)


def _convert_checked(file: _SettingsFile) -> Result[PlatformSettings, str]:
    try:
        return Ok(_convert(file))
    except (ValueError, ArithmeticError) as error:
        return Error(str(error))


def _convert(file: _SettingsFile) -> PlatformSettings:
    return PlatformSettings(
        instance=file.node_name,
        failure_domain=file.zone,
        region=file.region,
        failure_domains=tuple(sorted(file.zones)),
        listeners=Listeners(
            callers=_parse_optional_address(file.listen.front),
            readiness=_parse_optional_address(file.listen.ready),
            peers=_parse_optional_address(file.listen.control),
            directory=_parse_optional_address(file.listen.directory),
        ),
        seeds=tuple(parse_address(each) for each in file.seeds),
        store=parse_address(file.platform.address),
        heartbeat_seconds=file.heartbeat_ms / _MILLISECONDS,
        cores=file.limits.cpu_share * file.limits.cores,
        memory_bytes=file.limits.memory_mb * _MEGABYTE,
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


def _parse_optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None
