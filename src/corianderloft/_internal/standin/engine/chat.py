"""Request and response bodies of the OpenAI chat completions API."""

import dataclasses
import typing

import orjson

from corianderloft._internal.standin.engine import tokens

Json = dict[str, typing.Any]

DONE = b'data: [DONE]\n\n'


@dataclasses.dataclass(frozen=True)
class ChatRequest:
    """A parsed chat completion request."""

    model: str
    messages: list[Json]
    max_tokens: int
    seed: int
    stream: bool
    priority: int


@dataclasses.dataclass(frozen=True)
class BadRequest:
    """Why a body is not a valid chat completion request."""

    detail: str


def parse(body: Json | None) -> ChatRequest | BadRequest:
    """Parse the body of a chat completion request."""
    if body is None:
        return BadRequest('the body is not a JSON object')
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        return BadRequest('messages must be a list with a message')
    if not all(isinstance(message, dict) for message in messages):
        return BadRequest('each message must be an object')
    try:
        return ChatRequest(
            str(body.get('model', '')),
            messages,
            int(body.get('max_tokens') or tokens.DEFAULT_MAX_TOKENS),
            int(body.get('seed') or 0),
            bool(body.get('stream')),
            int(body.get('priority') or 0),
        )
    except (TypeError, ValueError) as exc:
        return BadRequest(str(exc))


def token_event(
    request_id: str, model: str, completion: tokens.Completion, n: int
) -> bytes:
    """Return the SSE event of token ``n``."""
    delta: Json = {'content': completion.token(n)}
    if n == 1:
        delta['role'] = 'assistant'
    return _chunk_event(request_id, model, n, delta, None)


def finish_event(
    request_id: str, model: str, completion: tokens.Completion
) -> bytes:
    """Return the last SSE event, which holds the finish reason."""
    return _chunk_event(
        request_id, model, completion.length, {}, completion.finish_reason
    )


def _chunk_event(
    request_id: str, model: str, n: int, delta: Json, finish: str | None
) -> bytes:
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish}
    chunk = {
        'id': request_id,
        'object': 'chat.completion.chunk',
        'model': model,
        'choices': [choice],
    }
    return b'id: %d\ndata: %s\n\n' % (n, orjson.dumps(chunk))


def error_event(code: str) -> bytes:
    """Return the SSE event that ends an incomplete stream."""
    body = orjson.dumps({'error': {'code': code}})
    return b'event: error\ndata: %s\n\n' % body


def completion_body(
    request_id: str,
    model: str,
    completion: tokens.Completion,
    first: int,
    prompt_tokens: int,
) -> Json:
    """Return the body of a response that starts at token ``first``."""
    message = {'role': 'assistant', 'content': completion.text(first)}
    generated = completion.length - first + 1
    return {
        'id': request_id,
        'object': 'chat.completion',
        'model': model,
        'choices': [
            {
                'index': 0,
                'message': message,
                'finish_reason': completion.finish_reason,
            }
        ],
        'usage': {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': generated,
            'total_tokens': prompt_tokens + generated,
        },
    }
