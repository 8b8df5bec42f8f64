"""Concurrent streamed completions and the expected text of each."""

import dataclasses
import typing

import orjson
import trio

from tests.lib import calls
from tests.lib import system as systems

CHAT = '/v1/chat/completions'


@dataclasses.dataclass(frozen=True)
class StreamedAnswer:
    """A streamed response as received by a caller.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    counts : tuple of int
        Token counts of the events with content, in order of arrival.
    text : str
        Text of all events.
    done : bool
        Whether the end marker of the stream arrived.
    error : str
        Data of the error event; empty without one.
    """

    status: int
    counts: tuple[int, ...]
    text: str
    done: bool
    error: str = ''


def read_stream(status: int, content: bytes) -> StreamedAnswer:
    """Parse the body of a streamed response."""
    events = [e for e in content.split(b'\n\n') if e]
    fields = [dict(_field(line) for line in e.split(b'\n')) for e in events]
    chunks = [_chunk(f) for f in fields]
    contents = [_content(chunk) for chunk in chunks]
    return StreamedAnswer(
        status,
        tuple(
            int(f[b'id']) for f, content in zip(fields, contents) if content
        ),
        ''.join(contents),
        bool(fields) and fields[-1].get(b'data') == b'[DONE]',
        _error(fields),
    )


def _error(events: list[dict[bytes, bytes]]) -> str:
    errors = [e[b'data'] for e in events if e.get(b'event') == b'error']
    return b''.join(errors).decode()


def _chunk(fields: dict[bytes, bytes]) -> typing.Any:
    data = fields.get(b'data', b'[DONE]')
    return {} if data == b'[DONE]' else orjson.loads(data)


def _content(chunk: typing.Any) -> str:
    choices = chunk.get('choices', [])
    return ''.join(c['delta'].get('content', '') for c in choices)


def _field(line: bytes) -> tuple[bytes, bytes]:
    name, _, value = line.partition(b': ')
    return name, value


async def expected(
    system: systems.System, engine_id: str, content: str
) -> str:
    """Return the answer to ``content``, requested from an engine directly."""
    port = system.backends[engine_id].port
    reply = await calls.post(port, CHAT, systems.chat_body(content, True))
    return read_stream(reply.status, reply.content).text


async def expected_all(
    system: systems.System, engine_id: str, contents: list[str]
) -> list[str]:
    """Return the answers to all ``contents``, in the same order."""
    answers: dict[int, str] = {}

    async def one(number: int, content: str) -> None:
        answers[number] = await expected(system, engine_id, content)

    async with trio.open_nursery() as nursery:
        for number, content in enumerate(contents):
            nursery.start_soon(one, number, content)
    return [answers[number] for number in sorted(answers)]


async def stream_all(
    system: systems.System, host_id: str, contents: list[str]
) -> list[StreamedAnswer]:
    """Stream all answers concurrently; return them in the same order."""
    answers: dict[int, StreamedAnswer] = {}

    async def one(number: int, content: str) -> None:
        reply = await system.chat(host_id, content, stream=True)
        answers[number] = read_stream(reply.status, reply.content)

    async with trio.open_nursery() as nursery:
        for number, content in enumerate(contents):
            nursery.start_soon(one, number, content)
    return [answers[number] for number in sorted(answers)]
