"""A model engine sends bytes without end in the body of one stream."""

import asyncio
import itertools
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
import standins  # noqa: E402

PIECE = b'0123456789abcdef'  # one chunk of the body; no event ends
TIMEOUT_S = 2.0  # timeout_ms of the route order-look
LATE_S = 0.5
CALLERS = 8
CHATS = 12  # one of them or more goes to the server in trouble


async def endless(engine, req, writer):
    standins.start_stream(engine, req, writer)
    data = b'%x\r\n%b\r\n' % (len(PIECE), PIECE) * 512
    sent = 0
    try:
        while True:
            writer.write(data)
            await writer.drain()
            sent += len(data)
    finally:
        engine.record(f'{engine.engine_id} had sent {sent} bytes without the end of an event')


async def main():
    trouble = os.environ.get('TROUBLE', '1') != '0'
    case = os.path.dirname(os.path.abspath(__file__))
    engines = [
        ('i-model-1', 'lace-model', endless if trouble else standins.answer_stream),
        *((f'i-model-{n}', 'lace-model', standins.answer_stream) for n in (2, 3, 4, 5)),
        *((f'i-desk-{n}', 'order-desk') for n in (1, 2, 3, 4)),
    ]
    async with standins.System(case, engines) as system:
        host = system.hosts[0]
        numbers = itertools.count()
        answers = []
        probes = []

        async def look():
            caller = standins.Caller(host.front)
            until = time.monotonic() + 16.0
            while time.monotonic() < until:
                name = f'look-{next(numbers)}'
                answer = await caller.request(
                    name,
                    'GET',
                    '/look/1',
                    [('Corianderloft-Deadline-Ms', '4000')],
                    timeout=TIMEOUT_S + LATE_S,
                )
                answers.append(answer)
                system.record(f'{name} answered {answer.status} after {answer.took:.3f} s')
                await asyncio.sleep(0.2)

        async def chat(number):
            await asyncio.sleep(2.0 + number * 0.2)
            name = f'chat-{number}'
            system.record(f'{name} sent')
            answer = await standins.Caller(host.front).request(
                name,
                'POST',
                f'/chat/{number}',
                standins.chat_headers(540, 280, 15000, f'{number:x}:540'),
                b'hello',
                15.0,
            )
            system.record(f'{name} ended after {answer.took:.2f} s, complete: {answer.complete}')

        async def probe():
            for _ in range(16):
                started = time.monotonic()
                ready = await host.is_ready()
                probes.append(ready)
                system.record(f'GET /readyz: {ready} after {time.monotonic() - started:.2f} s')
                await asyncio.sleep(max(0, started + 1 - time.monotonic()))

        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(look())
            for number in range(CHATS):
                group.create_task(chat(number))
            group.create_task(probe())
        open_at_timeout = [a for a in answers if a.took >= TIMEOUT_S]
        late = [a for a in open_at_timeout if a.status == 0]
        system.record(f'{len(answers)} looks; {len(open_at_timeout)} unanswered after {TIMEOUT_S} s, {len(late)} of them {LATE_S} s later; {probes.count(False)} of {len(probes)} questions for readiness without a 200')
    if len(open_at_timeout) >= 8 and len(late) > len(open_at_timeout) / 2:
        return f'CONFIG: of {len(open_at_timeout)} requests without an answer at timeout_ms, {len(late)} had none half a second later; one stream kept the host from its work'


if __name__ == '__main__':
    standins.run(main)
