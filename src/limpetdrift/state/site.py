"""Defines the configuration of a site, as the data path reads it.

It is loaded from the merge of the base document and the site's overlay.
Durations are in seconds and rates per second. The ``option`` of a field says
how the field is written in YAML; docs/CONFIGURATION.md is made from these
declarations.
"""

import re
from dataclasses import dataclass

from limpetdrift.state.options import (
    Unit,
    above_zero,
    at_least,
    option,
)

DEFAULT_CONTEXT_TOKENS = 1_048_576
DEFAULT_REQUESTS_PER_SECOND = 50.0
DEFAULT_TOKENS_PER_SECOND = 1_000_000.0
DEFAULT_CONCURRENT_REQUESTS = 64
DEFAULT_DEADLINE_SECONDS = 60.0
DEFAULT_SERVICE_TIMEOUT_SECONDS = 10.0
_KEY_HASH = re.compile('[0-9a-f]{64}')
_METHOD = re.compile('[A-Z]+')


def _check_key_hash(text: str) -> str:
    if _KEY_HASH.fullmatch(text):
        return ''
    return '64 hexadecimal digits, as limpetctl hash-key prints them'


def _check_method(text: str) -> str:
    return '' if _METHOD.fullmatch(text) else 'an HTTP method in capitals'


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelConfig:
    """A model that the site serves."""

    version: str = option(about='The version that engines shall serve.')
    context_tokens: int = option(
        DEFAULT_CONTEXT_TOKENS,
        key='context',
        unit=Unit.TOKENS,
        check=above_zero,
        about='The longest prompt and answer together.',
    )
    copies: int = option(
        1,
        check=at_least(0),
        about='How many engines shall hold the model.',
    )
    adapters: tuple[str, ...] = option(
        (),
        about='Names of the adapters that engines load with it.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountConfig:
    """A client account: its hashed keys, limits and fair-share weight.

    ``key_hashes`` holds hexadecimal SHA-256 digests of bearer keys. If
    ``models`` is empty, the account may use all models of the site.
    """

    key_hashes: tuple[str, ...] = option(
        (),
        check=_check_key_hash,
        about='SHA-256 digests of the bearer keys (limpetctl hash-key).',
    )
    requests_per_second: float = option(
        DEFAULT_REQUESTS_PER_SECOND,
        key='requests',
        unit=Unit.RATE,
        check=above_zero,
        about='Admitted requests a second, over all entries.',
    )
    tokens_per_second: float = option(
        DEFAULT_TOKENS_PER_SECOND,
        key='tokens',
        unit=Unit.RATE,
        check=above_zero,
        about='Prompt and output tokens a second, over all entries.',
    )
    concurrent_requests: int = option(
        DEFAULT_CONCURRENT_REQUESTS,
        key='concurrency',
        check=at_least(1),
        about='Requests that may run at once, over all entries.',
    )
    weight: float = option(
        1.0,
        check=above_zero,
        about='Share under overload, against that of other accounts.',
    )
    models: tuple[str, ...] = option(
        (),
        reference='models',
        about='Models that it may use; none listed means all.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class UrgencyConfig:
    """An urgency of requests; those with a lower ``rank`` run first."""

    rank: int = option(
        check=at_least(0),
        about='Order among the urgencies; lower runs first.',
    )
    deadline_seconds: float = option(
        DEFAULT_DEADLINE_SECONDS,
        key='deadline',
        unit=Unit.DURATION,
        check=above_zero,
        about='Time for the whole answer, where the request names none.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceConfig:
    """A plain service, to which calls are routed by its name."""

    timeout_seconds: float = option(
        DEFAULT_SERVICE_TIMEOUT_SECONDS,
        key='timeout',
        unit=Unit.DURATION,
        check=above_zero,
        about='Time for one whole call.',
    )
    repeatable_methods: tuple[str, ...] = option(
        ('GET', 'HEAD', 'OPTIONS'),
        check=_check_method,
        about='Methods whose calls may be sent again.',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteConfig:
    """The whole configuration of a site."""

    site: str = option('', about='The name of the site; in overlays only.')
    brand: str = option('', about='The name that callers see.')
    models: dict[str, ModelConfig] = option(
        default_factory=dict,
        about='The models on offer, by name.',
    )
    accounts: dict[str, AccountConfig] = option(
        default_factory=dict,
        about='The client accounts, by name.',
    )
    urgencies: dict[str, UrgencyConfig] = option(
        default_factory=dict,
        about='The kinds of urgency, by name.',
    )
    services: dict[str, ServiceConfig] = option(
        default_factory=dict,
        about='The plain services, by name.',
    )
    default_urgency: str = option(
        'normal',
        reference='urgencies',
        about='The urgency of a request that names none.',
    )
