"""Encodes messages, which are frozen data classes, as JSON and decodes them."""

from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from limpetdrift.transport.messages import Headers, Request, Response
from limpetdrift.verdict import Failure, Reason, not_run

Message = TypeVar('Message')

JSON_HEADERS: Headers = (('content-type', 'application/json'),)
LINES_HEADERS: Headers = (('content-type', 'application/x-ndjson'),)


def encode(message: object) -> bytes:
    """Return the message as JSON."""
    return msgspec.json.encode(message)


def encode_line(message: object) -> bytes:
    """Return the message as one line of JSON, newline included."""
    return msgspec.json.encode(message) + b'\n'


def decode(payload: bytes, kind: type[Message]) -> Result[Message, Failure]:
    """Decode a message of the given class.

    Unknown keys are ignored. Anything that is no such message, such as
    malformed JSON, a missing key or a value of a wrong type, fails with
    ``BAD_REQUEST``, whose detail names the error.
    """
    return decode_json(payload, kind).map_error(
        lambda detail: not_run(Reason.BAD_REQUEST, detail)
    )


def decode_json(payload: bytes, kind: type[Message]) -> Result[Message, str]:
    """Decode JSON from outside the process, or return what is wrong with it.

    >>> decode_json(b'{"a":' + b'[' * 9000, dict).is_error()
    True
    """
    try:
        return Ok(msgspec.json.decode(payload, type=kind))
    except Exception as error:
        # The decoder raises more than its own errors: RecursionError on deep
        # nesting, and whatever a message class raises about its fields.
        return Error(str(error))


def json_request(method: str, path: str, message: object = None) -> Request:
    """Return a request whose JSON body is the message, if there is one."""
    body = b'' if message is None else encode(message)
    return Request(method=method, path=path, headers=JSON_HEADERS, body=body)


def json_response(
    message: object,
    *,
    status: int = 200,
    headers: Headers = (),
) -> Response:
    """Return a response whose JSON body is the message."""
    return Response(
        status=status,
        headers=(*JSON_HEADERS, *headers),
        body=encode(message),
    )
