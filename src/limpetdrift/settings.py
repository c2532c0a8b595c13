"""Settings of one process, read from a YAML file.

They hold what a process must know of itself and its surroundings: addresses,
failure domain, seeds, secrets. What a site offers is configuration, and is
kept apart from this.
"""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import msgspec
import yaml

from limpetdrift.protocol.node import Endpoint, Node
from limpetdrift.transport.messages import Address, parse_address

Settings = TypeVar('Settings')


@dataclass(frozen=True, kw_only=True, slots=True)
class Secret:
    """A secret kept in a file or in an environment variable."""

    file: str = ''
    environment: str = ''

    def read(self) -> str:
        """Return the secret; raise ``ValueError`` where there is none."""
        if self.file:
            return Path(self.file).read_text('utf-8').strip()
        secret = os.environ.get(self.environment, '')
        if not secret:
            raise ValueError(f'no secret in variable {self.environment!r}')
        return secret


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSettings:
    """Where the platform's services are."""

    table: Address | None = None
    objects: Address | None = None
    instances: Address | None = None
    weights: Address | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """Settings of ``limpet-entry``."""

    name: str
    region: str
    failure_domain: str
    site: str
    caller_listen: Address
    peer_listen: Address
    peer_secret: Secret
    operator_secret: Secret
    platform: PlatformSettings = PlatformSettings()
    seeds: tuple[Address, ...] = ()
    log_level: str = 'info'
    engine_silence_seconds: float = 2.0
    site_file: str = ''
    endpoints: tuple[Endpoint, ...] = ()
    peers: tuple[Node, ...] = ()


def load_settings(path: str, kind: type[Settings]) -> Settings:
    """Read settings; raise ``ValueError`` that says what is wrong."""
    document = yaml.safe_load(Path(path).read_text('utf-8'))
    try:
        return msgspec.convert(document, type=kind, dec_hook=_convert)
    except msgspec.ValidationError as error:
        raise ValueError(f'{path}: {error}') from error


def _convert(kind: type, value: object) -> object:
    if kind is Address and isinstance(value, str):
        return parse_address(value)
    raise TypeError(f'no way to read {kind.__name__}')
