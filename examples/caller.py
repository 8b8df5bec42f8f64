"""Sends a chat completion and a booking through the callers' library.

Run as ``python examples/caller.py IP:PORT`` with an entry host of the
five-minute guide. A host that has just started refuses requests until it has
read the declarations, so requests that did not run are repeated.
"""

import collections.abc
import sys

import trio

import corianderloft

KEY = 'clk_example_cairo-cobblers'
QUESTION = {
    'messages': [{'role': 'user', 'content': 'Red laces, 90 cm?'}],
    'max_tokens': 20,
}
MAX_ATTEMPTS = 20
RETRY_DELAY_S = 0.5

RequestError = corianderloft.Refused | corianderloft.Unreachable
Request = collections.abc.Callable[
    [corianderloft.Client], collections.abc.Awaitable[RequestError | None]
]


async def chat(client: corianderloft.Client) -> RequestError | None:
    """Print a streamed answer; return the error if it is incomplete."""
    async with client.stream(
        'lace-model', 'stock-question', QUESTION
    ) as items:
        async for item in items:
            if not isinstance(item, corianderloft.Event):
                return item
            print(item.text, end='', flush=True)
    print()
    return None


async def book(client: corianderloft.Client) -> RequestError | None:
    """Charge an invoice once; return the error if there is no answer."""
    charge = await client.call(
        'order-desk',
        'charge',
        'POST',
        '/bookings',
        b'{"booking": "invoice-1"}',
        idempotency_key='invoice-1',
    )
    if not isinstance(charge, corianderloft.PlainAnswer):
        return charge
    print(charge.status, charge.body.decode())
    return None


async def repeat(client: corianderloft.Client, request: Request) -> None:
    """Repeat a request that did not run; exit on any other error."""
    for _ in range(MAX_ATTEMPTS):
        error = await request(client)
        if error is None:
            return
        if error.run != 'not_run':
            break
        await trio.sleep(RETRY_DELAY_S)
    sys.exit(f'no whole answer: {error}')


async def main(host: str) -> None:
    """Send a chat completion and a booking and print the answers."""
    address, _, port = host.rpartition(':')
    seeds = [corianderloft.Address(address, int(port))]
    async with corianderloft.Client(seeds, KEY) as client:
        await repeat(client, chat)
        await repeat(client, book)


if __name__ == '__main__':
    trio.run(main, sys.argv[1])
