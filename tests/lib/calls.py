"""Calls on stand-ins, each over a connection of its own."""

import typing

import httpcore
import orjson


async def call(
    method: str, port: int, path: str, body: object = None, **headers: str
) -> httpcore.Response:
    """Return the whole reply; raises httpcore's errors."""
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
    """Send a JSON body."""
    return await call('POST', port, path, body, **headers)


async def get(port: int, path: str) -> typing.Any:
    """Return the JSON object at ``path``."""
    return orjson.loads((await call('GET', port, path)).content)


async def set_faults(port: int, **faults: object) -> None:
    """Set faults of a stand-in; those not named stay."""
    reply = await post(port, '/control/faults', faults)
    assert reply.status == 200, reply.content
