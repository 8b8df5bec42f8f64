"""Sends a chat completion and a booking through the callers' library.

Run as ``python examples/caller.py IP:PORT`` with an entry host of the
five-minute guide. A host that has just started refuses what it is asked
until it has read the declarations, so what did not run is asked for again.
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
PAUSE = 0.5  # s

Lost = corianderloft.Refused | corianderloft.Unreachable
Ask = collections.abc.Callable[
    [corianderloft.Client], collections.abc.Awaitable[Lost | None]
]


async def ask(client: corianderloft.Client) -> Lost | None:
    """Print an answer as it comes; return why it is not whole."""
    async with client.stream(
        'lace-model', 'stock-question', QUESTION
    ) as items:
        async for item in items:
            if not isinstance(item, corianderloft.Event):
                return item
            print(item.text, end='', flush=True)
    print()
    return None


async def book(client: corianderloft.Client) -> Lost | None:
    """Charge an invoice once; return why it was not charged."""
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


async def repeat(client: corianderloft.Client, request: Ask) -> None:
    """Send a request until it ran; end the program if it was lost."""
    for _ in range(MAX_ATTEMPTS):
        lost = await request(client)
        if lost is None:
            return
        if lost.run != 'not_run':
            break
        await trio.sleep(PAUSE)
    sys.exit(f'no whole answer: {lost}')


async def main(host: str) -> None:
    """Ask once, book once, and print the outcomes."""
    address, _, port = host.rpartition(':')
    seeds = [corianderloft.Address(address, int(port))]
    async with corianderloft.Client(seeds, KEY) as client:
        await repeat(client, ask)
        await repeat(client, book)


if __name__ == '__main__':
    trio.run(main, sys.argv[1])
