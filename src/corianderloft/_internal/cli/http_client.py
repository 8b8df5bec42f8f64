"""HTTP requests of commands to hosts."""

import dataclasses
import os
import ssl
import typing

import httpcore
import orjson
import trio

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.network import streams
from corianderloft._internal.utils import urls

CALL_TIMEOUT_S = 10.0
OPERATOR_KEY_VARIABLE = 'CORIANDERLOFT_OPERATOR_KEY'
CA_FILE_VARIABLE = 'CORIANDERLOFT_CA_FILE'
AUTH_ERROR_STATUSES = (401, 403)
NOT_FOUND_STATUS = 404
MIN_ERROR_STATUS = 400


@dataclasses.dataclass(frozen=True)
class Response:
    """Response of a host, with its body decoded from JSON."""

    status: int
    body: typing.Any


def call(
    method: str, base_url: str, path: str, body: typing.Any = None
) -> Response | output.Failure:
    """Send a request to a host and return the response or a failure.

    Parameters
    ----------
    method : str
        HTTP method.
    base_url : str
        ``HOST:PORT`` or a URL with its scheme.
    path : str
        Path and query.
    body : object, optional
        Sent as JSON.
    """
    url = urls.with_scheme(base_url).rstrip('/')
    if not urls.is_origin(url):
        return output.Failure(
            exit_codes.ExitCode.USAGE,
            f'{base_url!r} is no address; allowed: {urls.ALLOWED}',
        )
    return trio.run(_call, method, url, path, body)


def error_failure(response: Response, subject: str) -> output.Failure | None:
    """Return the failure for an error response, or None.

    Parameters
    ----------
    response : Response
        Response of a host.
    subject : str
        What was requested, for the message.
    """
    if response.status < MIN_ERROR_STATUS:
        return None
    error = (
        response.body.get('error') if isinstance(response.body, dict) else None
    )
    detail = error.get('detail') if isinstance(error, dict) else error
    message = f'{subject}: {detail or f"HTTP status {response.status}"}'
    if response.status == NOT_FOUND_STATUS:
        return output.Failure(exit_codes.ExitCode.NOT_FOUND, message)
    if response.status in AUTH_ERROR_STATUSES:
        hint = f'set {OPERATOR_KEY_VARIABLE} to a key with the role it needs'
        return output.Failure(exit_codes.ExitCode.REFUSED, message, (hint,))
    return output.Failure(exit_codes.ExitCode.REFUSED, message)


async def _call(
    method: str, url: str, path: str, body: typing.Any
) -> Response | output.Failure:
    origin = httpcore.URL(url)
    conn = streams.HttpConnection(origin.origin, ssl_context=_ssl_context())
    headers: dict[bytes | str, bytes | str] = {
        'Host': url.split('://')[1],
        'Accept': 'application/json',
    }
    key = os.environ.get(OPERATOR_KEY_VARIABLE)
    if key:
        headers['Authorization'] = f'Bearer {key}'
    content = b'' if body is None else orjson.dumps(body)
    if content or method == 'POST':
        headers['Content-Length'] = str(len(content))
    try:
        with trio.fail_after(CALL_TIMEOUT_S):
            response = await conn.request(
                method, f'{url}{path}', headers=headers, content=content
            )
    except (
        trio.TooSlowError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        OSError,
    ) as exc:
        detail = str(exc) or f'no answer within {CALL_TIMEOUT_S:.0f} s'
        return output.Failure(
            exit_codes.ExitCode.UNAVAILABLE,
            f'{url} does not answer: {detail}',
            ('check the address and that the process is up',),
        )
    finally:
        with trio.CancelScope(shield=True):
            await conn.aclose()
    return Response(response.status, _decode_body(response.content))


def _ssl_context() -> ssl.SSLContext:
    return ssl.create_default_context(cafile=os.environ.get(CA_FILE_VARIABLE))


def _decode_body(content: bytes) -> typing.Any:
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError:
        return content.decode('utf-8', 'replace')
