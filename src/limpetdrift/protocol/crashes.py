"""Messages about attempts that broke off when their endpoint crashed.

Requests are described by keys: the ids of the parts of their prompts that other
requests may share, and a fingerprint of the whole request.
"""

from dataclasses import dataclass

from limpetdrift.protocol.bounded import BoundedFloat, Seconds

PUSH_PATH = 'crashes/news'
PULL_PATH = 'crashes/pull'


@dataclass(frozen=True, kw_only=True, slots=True)
class CutAttempt:
    """An attempt that its endpoint's crash cut off before it proved harmless.

    ``endpoint`` identifies the process that crashed, and ``attempt`` the
    attempt there. ``keys`` are those of its request, the fingerprint first.
    ``age_seconds`` is the time since the crash, and ``time_of_day`` the Unix
    time of it by the clock of the entry that noticed it.
    """

    endpoint: str
    attempt: str
    account: str
    keys: tuple[str, ...]
    age_seconds: Seconds
    time_of_day: BoundedFloat = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HarmlessKey:
    """A key of a request that an endpoint answered without a crash."""

    key: str
    age_seconds: Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashNews:
    """Evidence for and against keys, pushed to a peer or sent to its pull.

    ``has_learned`` is false while the sender has just started and may know
    less than the store.
    """

    cut: tuple[CutAttempt, ...] = ()
    harmless: tuple[HarmlessKey, ...] = ()
    has_learned: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashPull:
    """Requests all evidence of a peer; also the reply to a push."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashDigest:
    """A hash over a node's cut attempts, compared through gossip."""

    cut: int
