"""Settings of one process, read from a YAML file.

Settings describe the process and its environment: addresses, failure domain,
seeds, secrets. The models and services of a site are not settings but
configuration, which is kept separately.
"""

import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from expression import Result

from limpetdrift.coordination.homes.policies import DEFAULT_POLICY, POLICIES
from limpetdrift.protocol.configuration import Complaint, Complaints
from limpetdrift.protocol.node import Endpoint
from limpetdrift.state.checked_yaml import load_document
from limpetdrift.state.options import Unit, at_least, option
from limpetdrift.transport.messages import Address

Settings = TypeVar('Settings')

DEFAULT_ENGINE_IDLE_TIMEOUT_SECONDS = 2.0
DEFAULT_LIVE_NODES = 18
DEFAULT_STORE_READS_PER_SECOND = 2_000.0
DEFAULT_STORE_WRITES_PER_SECOND = 300.0
DEFAULT_LOADS_IN_FLIGHT = 2
DEFAULT_MEMORY_BYTES = 1_073_741_824
MIN_MEMORY_BYTES = 67_108_864
DEFAULT_DESCRIPTORS = 4096
MIN_DESCRIPTORS = 256


def _check_policy(name: str) -> str:
    names = ', '.join(POLICIES)
    return '' if name in POLICIES else f'one of {names}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Secret:
    """A secret kept in a file or in an environment variable."""

    file: str = option('', about='The file that holds the secret.')
    environment: str = option('', about='The variable that holds it.')

    def read(self) -> str:
        """Return the secret.

        An unreadable file raises ``OSError``, and a variable that is unset or
        empty raises ``ValueError``.
        """
        if self.file:
            return Path(self.file).read_text('utf-8').strip()
        secret = os.environ.get(self.environment, '')
        if not secret:
            raise ValueError(
                f'environment variable {self.environment!r} holds no secret'
            )
        return secret


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformAddresses:
    """Addresses of the platform's services."""

    table: Address | None = option(None, about='The table service.')
    objects: Address | None = option(None, about='The object store.')
    instances: Address | None = option(None, about='The instance list.')
    weights: Address | None = option(None, about='The weight store.')


@dataclass(frozen=True, kw_only=True, slots=True)
class MachineLimits:
    """What a process may take of its machine."""

    memory: float = option(
        DEFAULT_MEMORY_BYTES,
        unit=Unit.SIZE,
        check=at_least(MIN_MEMORY_BYTES),
        about='Memory of the process, of which connections get a part.',
    )
    descriptors: int = option(
        DEFAULT_DESCRIPTORS,
        check=at_least(MIN_DESCRIPTORS),
        about='Open descriptors, of which connections get a part.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """Settings of ``limpet-entry``."""

    name: str = option(about='The name of this instance; unique.')
    region: str = option(about='The region it is in.')
    failure_domain: str = option(about='The failure domain it is in.')
    site: str = option(about='The site whose configuration it serves.')
    caller_listen: Address = option(about='Where callers connect.')
    peer_listen: Address = option(about='Where other processes connect.')
    peer_secret: Secret = option(about='Shared by all our processes.')
    operator_secret: Secret = option(about='Known to operators.')
    platform: PlatformAddresses = field(default_factory=PlatformAddresses)
    seeds: tuple[Address, ...] = option((), about='Peers to contact first.')
    log_level: str = option('info', about='debug, info, warning or error.')
    engine_silence_seconds: float = option(
        DEFAULT_ENGINE_IDLE_TIMEOUT_SECONDS,
        key='engine_silence',
        unit=Unit.DURATION,
        about='Idle timeout of an engine stream, which is then resumed.',
    )
    placement_policy: str = option(
        DEFAULT_POLICY,
        check=_check_policy,
        about='How requests are placed; the same on all entries.',
    )
    site_file: str = option(
        '', about='The file of the configuration until the store answers.'
    )
    endpoints: tuple[Endpoint, ...] = option((), about='Known endpoints.')
    limits: MachineLimits = field(default_factory=MachineLimits)


@dataclass(frozen=True, kw_only=True, slots=True)
class StewardSettings:
    """Settings of ``limpet-steward``."""

    name: str = option(about='The name of this process; unique.')
    listen: Address = option(about='Where health and metrics are read.')
    platform: PlatformAddresses = field(default_factory=PlatformAddresses)
    site_file: str = option(about='The file of the site configuration.')
    endpoints: tuple[Endpoint, ...] = option((), about='The engines.')
    log_level: str = option('info', about='debug, info, warning or error.')
    live_nodes: int = option(
        DEFAULT_LIVE_NODES,
        about='The processes that share the table service.',
    )
    store_reads_per_second: float = option(
        DEFAULT_STORE_READS_PER_SECOND,
        key='store_reads',
        unit=Unit.RATE,
        about='Read rate of the table service for all processes.',
    )
    store_writes_per_second: float = option(
        DEFAULT_STORE_WRITES_PER_SECOND,
        key='store_writes',
        unit=Unit.RATE,
        about='Write rate of the table service for all processes.',
    )
    loads_in_flight: int = option(
        DEFAULT_LOADS_IN_FLIGHT,
        about='How many engines load from the weight store at a time.',
    )
    limits: MachineLimits = field(default_factory=MachineLimits)


def load_settings(
    path: str,
    kind: type[Settings],
) -> Result[Settings, Complaints]:
    """Read settings of class ``kind`` from a YAML file.

    Each complaint in an error holds the file, the line and the key.
    """
    try:
        text = Path(path).read_text('utf-8')
    except OSError as error:
        return Result.Error((_unreadable_file(path, error),))
    return load_document(text, path, kind)


def _unreadable_file(path: str, error: OSError) -> Complaint:
    return Complaint(
        file=path,
        line=0,
        key='',
        expected='a readable file',
        found=str(error.strerror),
    )
