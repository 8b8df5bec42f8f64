"""One HTTP call of a command to a host."""

import dataclasses
import os
import ssl
import typing

import httpcore
import orjson
import trio

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.utils import urls

CALL_TIMEOUT = 10.0  # s
OPERATOR_KEY_VARIABLE = 'CORIANDERLOFT_OPERATOR_KEY'
CA_FILE_VARIABLE = 'CORIANDERLOFT_CA_FILE'
FORBIDDEN = (401, 403)
NOT_FOUND = 404
FIRST_ERROR = 400


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer of a host, its body read as JSON."""

    status: int
    body: typing.Any


def call(
    method: str, base_url: str, path: str, body: typing.Any = None
) -> Answer | output.Failure:
    """Call a host and return its answer, or why there is none.

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


def refused(answer: Answer, what: str) -> output.Failure | None:
    """Return a failure if a host did not grant a call, or None."""
    if answer.status < FIRST_ERROR:
        return None
    error = answer.body.get('error') if isinstance(answer.body, dict) else None
    detail = error.get('detail') if isinstance(error, dict) else error
    message = f'{what}: {detail or f"HTTP status {answer.status}"}'
    if answer.status == NOT_FOUND:
        return output.Failure(exit_codes.ExitCode.NOT_FOUND, message)
    if answer.status in FORBIDDEN:
        hint = f'set {OPERATOR_KEY_VARIABLE} to a key with the role it needs'
        return output.Failure(exit_codes.ExitCode.REFUSED, message, (hint,))
    return output.Failure(exit_codes.ExitCode.REFUSED, message)


async def _call(
    method: str, url: str, path: str, body: typing.Any
) -> Answer | output.Failure:
    origin = httpcore.URL(url)
    conn = httpcore.AsyncHTTPConnection(
        origin=origin.origin, ssl_context=_ssl_context()
    )
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
        with trio.fail_after(CALL_TIMEOUT):
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
        detail = str(exc) or f'no answer within {CALL_TIMEOUT:.0f} s'
        return output.Failure(
            exit_codes.ExitCode.UNAVAILABLE,
            f'{url} does not answer: {detail}',
            ('check the address and that the process is up',),
        )
    finally:
        with trio.CancelScope(shield=True):
            await conn.aclose()
    return Answer(response.status, _decoded(response.content))


def _ssl_context() -> ssl.SSLContext:
    return ssl.create_default_context(cafile=os.environ.get(CA_FILE_VARIABLE))


def _decoded(content: bytes) -> typing.Any:
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError:
        return content.decode('utf-8', 'replace')
