"""Sends a chat completion and a booking through the callers' library.

Run as ``python examples/caller.py IP:PORT`` with an entry host of the
five-minute guide.
"""

import sys

import trio

import corianderloft

KEY = 'clk_example_cairo-cobblers'
QUESTION = {
    'messages': [{'role': 'user', 'content': 'Red laces, 90 cm?'}],
    'max_tokens': 20,
}


async def main(host: str) -> None:
    """Ask once, book once, and print the outcomes."""
    address, _, port = host.rpartition(':')
    seeds = [corianderloft.Address(address, int(port))]
    async with corianderloft.Client(seeds, KEY) as client:
        async with client.stream(
            'lace-model', 'stock-question', QUESTION
        ) as items:
            async for item in items:
                if not isinstance(item, corianderloft.Event):
                    sys.exit(f'no whole answer: {item}')
                print(item.text, end='', flush=True)
        print()
        charge = await client.call(
            'order-desk',
            'charge',
            'POST',
            '/bookings',
            b'{"booking": "invoice-1"}',
            idempotency_key='invoice-1',
        )
        if not isinstance(charge, corianderloft.PlainAnswer):
            sys.exit(f'not charged: {charge}')
        print(charge.status, charge.body.decode())


if __name__ == '__main__':
    trio.run(main, sys.argv[1])
