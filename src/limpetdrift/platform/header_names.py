"""The names of all headers that an entry on the platform reads or writes.

They are grouped by who may write them. What entries tell each other is never
taken from a caller or an endpoint. A caller's header may have any name, also
one that entries use, and reaches the endpoint: where a peer carries the
request, ``escape_peer_names`` keeps it apart from the entries' own.
"""

from limpetdrift.coordination.peers import PEER_SECRET_HEADER
from limpetdrift.protocol.service import ATTEMPT_HEADER, REQUEST_KEY_HEADER
from limpetdrift.transport.messages import Headers

REQUEST_ID_HEADER = 'attempt-id'
HOST_HEADER = 'host'
MODEL_HEADER = 'model'
TOKEN_USAGE_HEADER = 'token-usage'
PROMPT_PARTS_HEADER = 'prompt-prefix'
LAST_EVENT_ID_HEADER = 'last-event-id'
# Written by callers, and forwarded, also if ``connection`` names them.
CALLER_HEADERS = frozenset(
    (
        REQUEST_ID_HEADER,
        HOST_HEADER,
        MODEL_HEADER,
        TOKEN_USAGE_HEADER,
        PROMPT_PARTS_HEADER,
        LAST_EVENT_ID_HEADER,
    )
)

DEADLINE_MS_HEADER = 'deadline-ms'
AUTHORIZATION_HEADER = 'authorization'
CLIENT_ACCOUNT_HEADER = 'tenant'
EXPECTED_INSTANCE_HEADER = 'expect-instance'
HELPERS_HEADER = 'helpers'
REQUEST_URGENCY_HEADER = 'request-urgency'
EXPECTED_VERSION_HEADER = 'expect-version'
# Consumed by the entry, or sent to endpoints by it alone.
ENTRY_HEADERS = frozenset(
    (
        DEADLINE_MS_HEADER,
        AUTHORIZATION_HEADER,
        CLIENT_ACCOUNT_HEADER,
        EXPECTED_INSTANCE_HEADER,
        HELPERS_HEADER,
        REQUEST_URGENCY_HEADER,
        EXPECTED_VERSION_HEADER,
    )
)

CARRIED_METHOD_HEADER = 'limpet-carried-method'
CARRIED_TARGET_HEADER = 'limpet-carried-target'
# The attempts that the entries before have made.
CARRIED_ATTEMPTS_HEADER = 'limpet-carried-attempts'
# Set on all answers of a peer that knows the call.
CARRIED_MARK_HEADER = 'limpet-carried'
# Written by entries, and read by entries alone.
PEER_HEADERS = frozenset(
    (
        CARRIED_METHOD_HEADER,
        CARRIED_TARGET_HEADER,
        CARRIED_ATTEMPTS_HEADER,
        CARRIED_MARK_HEADER,
        PEER_SECRET_HEADER,
    )
)
# The names of a later build also begin so.
_PEER_PREFIXES = ('limpet-', 'x-limpet-')
# Put before a caller's name that begins so, in a request that a peer carries.
_ESCAPE_PREFIX = 'limpet-caller-'
_ESCAPED_PREFIXES = tuple(
    f'{_ESCAPE_PREFIX}{prefix}' for prefix in _PEER_PREFIXES
)

# Set on responses to requests that the endpoint has not begun to run.
NOT_RUN_HEADER = 'not-executed'
LOAD_HEADER = 'server-load'
# Address of another endpoint that caused a refusal.
FAILED_ADDRESS_HEADER = 'at-server'
INSTANCE_HEADER = 'instance-id'
LEAVING_HEADER = 'server-leaving'
# Set while the endpoint limits the rate of requests from all entries.
LIMIT_HEADER = 'server-limit'
# Written by endpoints for entries, and not forwarded to callers.
ENDPOINT_HEADERS = frozenset(
    (
        NOT_RUN_HEADER,
        LOAD_HEADER,
        FAILED_ADDRESS_HEADER,
        INSTANCE_HEADER,
        LEAVING_HEADER,
        LIMIT_HEADER,
    )
)

RETRY_AFTER_HEADER = 'retry-after'
# How much longer the endpoint is cold, in milliseconds.
COLD_HEADER = 'cold-ms'
CONTENT_TYPE_HEADER = 'content-type'
# Written by endpoints, and forwarded to callers.
ANSWER_HEADERS = frozenset(
    (RETRY_AFTER_HEADER, COLD_HEADER, CONTENT_TYPE_HEADER)
)

STORE_ERA_HEADER = 'store-era'
STORE_HEADERS = frozenset((STORE_ERA_HEADER,))

# Headers that concern one connection, or the framing of a message on it.
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    )
)

# Sent to the services of deployments other than the platform's.
SERVICE_HEADERS = frozenset((ATTEMPT_HEADER, REQUEST_KEY_HEADER))

# A request with two of one is refused: the entry would read the first, and an
# endpoint perhaps the last.
SINGLE_HEADERS = frozenset(
    (
        *CALLER_HEADERS,
        DEADLINE_MS_HEADER,
        AUTHORIZATION_HEADER,
    )
)

# The tests check that no module defines a name that is not in here.
ALL_HEADERS = (
    CALLER_HEADERS
    | ENTRY_HEADERS
    | PEER_HEADERS
    | ENDPOINT_HEADERS
    | ANSWER_HEADERS
    | STORE_HEADERS
    | SERVICE_HEADERS
    | CONNECTION_HEADERS
)


def drop_peer_headers(headers: Headers) -> Headers:
    """Return the headers of an answer without what only entries write.

    >>> drop_peer_headers((('limpet-carried', '1'), ('x', '2')))
    (('x', '2'),)
    """
    return tuple(
        pair for pair in headers if not pair[0].startswith(_PEER_PREFIXES)
    )


def escape_peer_names(headers: Headers) -> Headers:
    """Return a caller's headers for a carried request, none as an entry's.

    >>> escape_peer_names((('limpet-carried', '1'), ('x', '2')))
    (('limpet-caller-limpet-carried', '1'), ('x', '2'))
    """
    return tuple((_escape(name), text) for name, text in headers)


def unescape_peer_names(headers: Headers) -> Headers:
    """Return the caller's headers in a carried request, as it wrote them.

    An earlier build escapes none, so that its names that begin as entries' do
    may be either one's, and are left out.

    >>> unescape_peer_names((('limpet-caller-limpet-x', '1'), ('limpet-y', '')))
    (('limpet-x', '1'),)
    """
    return tuple(
        (name.removeprefix(_ESCAPE_PREFIX), text)
        for name, text in headers
        if name.startswith(_ESCAPED_PREFIXES)
        or not name.startswith(_PEER_PREFIXES)
    )


def _escape(name: str) -> str:
    return (
        f'{_ESCAPE_PREFIX}{name}' if name.startswith(_PEER_PREFIXES) else name
    )
