"""Calls to plain services as an entry handles them, and its peer messages."""

from dataclasses import dataclass

from limpetdrift.transport.messages import Request

FOLLOW_PATH = 'services/follow'


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRequest:
    """An admitted call to a plain service.

    ``handle`` is the request key sent to the service; ``key`` is the
    caller's idempotency key, or empty. ``deadline`` is in trio time;
    ``attempt_seconds`` is the timeout of each attempt. ``fingerprint``
    identifies the call within the client account.
    """

    handle: str
    key: str
    account: str
    service: str
    request: Request
    fingerprint: str
    repeatable: bool
    deadline: float
    attempt_seconds: float

    @property
    def scoped_key(self) -> str:
        """The idempotency key of its claim, unique across services."""
        return f'{self.service}/{self.key}'


@dataclass(frozen=True, kw_only=True, slots=True)
class FollowRequest:
    """Asks the owner of a call to answer when the call has ended.

    ``wait_seconds`` is the longest time to wait for that.
    """

    stream_id: str
    wait_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class FollowReply:
    """Whether the call has ended; true if the owner doesn't list it."""

    ended: bool
