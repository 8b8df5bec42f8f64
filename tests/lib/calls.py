"""HTTP requests to stand-ins, each over a new connection."""

import typing

import httpcore
import orjson


async def call(
    method: str, port: int, path: str, body: object = None, **headers: str
) -> httpcore.Response:
    """Send a request and return the response.

    Parameters
    ----------
    **headers : str
        Header fields, with underscores in place of hyphens.

    Raises
    ------
    Exception
        The errors of httpcore, such as `httpcore.ConnectError`.
    """
    url = httpcore.URL(f'http://127.0.0.1:{port}{path}')
    async with httpcore.AsyncHTTPConnection(origin=url.origin) as conn:
        named = [(name.replace('_', '-'), v) for name, v in headers.items()]
        return await conn.request(
            method,
            url,
            headers=[('host', f'127.0.0.1:{port}'), *named],
            content=None if body is None else orjson.dumps(body),
        )


async def post(
    port: int, path: str, body: object, **headers: str
) -> httpcore.Response:
    """Send a POST request with a JSON body."""
    return await call('POST', port, path, body, **headers)


async def get(port: int, path: str) -> typing.Any:
    """Return the decoded JSON response of a GET request."""
    return orjson.loads((await call('GET', port, path)).content)


async def set_faults(port: int, **faults: object) -> None:
    """Set faults of a stand-in; others keep their values."""
    reply = await post(port, '/control/faults', faults)
    assert reply.status == 200, reply.content
