"""A backend server runs bookings and fails some of them with 503."""

import asyncio
import itertools
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
import standins  # noqa: E402

BOOKINGS = 120
FAILED_EACH = 3  # of its bookings: less than the 0.4 of srv_grey
PROMISES = (408, 421, 429, 503)


def booking_desk(trouble):
    numbers = itertools.count(1)

    async def handle(engine, req, writer):
        if not trouble or next(numbers) % FAILED_EACH:
            return await standins.answer_whole(engine, req, writer)
        # It has done the work, and fails. Nothing says that it did not run.
        await asyncio.sleep(0.06)
        engine.record(f'{engine.engine_id} fails {req.get("corianderloft-attempt-id")} with 503 after its work')
        writer.write(standins.response(503, engine.head(req), b'failed'))
        return True

    return handle


async def main():
    trouble = os.environ.get('TROUBLE', '1') != '0'
    engines = [
        ('i-desk-1', 'order-desk', booking_desk(trouble)),
        *((f'i-desk-{n}', 'order-desk') for n in (2, 3, 4)),
    ]
    broken = []
    async with standins.System(os.path.dirname(os.path.abspath(__file__)), engines) as system:
        callers = [standins.Caller(host.front) for host in system.hosts]
        served = 0
        for number in range(BOOKINGS):
            name = f'book-{number}'
            answer = await callers[number % 2].request(
                name,
                'POST',
                f'/book/{number}',
                [('Corianderloft-Deadline-Ms', '4000')],
                b'one pallet',
            )
            system.record(f'{name} sent, answered {answer.status} {answer.headers}')
            served += answer.status == 200
            if answer.status in PROMISES:
                broken.append((name, answer.status))
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        ran = {name for engine in system.engines for name in engine.ran}
        broken = [(name, status) for name, status in broken if name in ran]
        for name, status in broken:
            system.record(f'REFUSED: {name} was answered {status} and has run')
        if served < BOOKINGS / 4:
            raise standins.CannotRun(f'only {served} were served')
    if broken:
        return f'REFUSED: {len(broken)} bookings were answered 503 and have run'


if __name__ == '__main__':
    standins.run(main)
