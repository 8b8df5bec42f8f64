"""A host that is told to stop cuts streams that an engine has preempted."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
import standins  # noqa: E402

TERM_S = 2.0
FIRST_S, LAST_S, STEP_S = 1.0, 4.4, 0.2  # when the callers ask
EVENTS, PAUSE_S = 5, 0.1
PREEMPTED_AFTER, PREEMPTED_S = 2, 1.2
DEADLINE_S = 3.0
GRACE_S = standins.BOUNDS['grace_s']


def model(preempts):
    async def handle(engine, req, writer):
        name = req.get('corianderloft-attempt-id')
        standins.start_stream(engine, req, writer)
        first = int(req.get('last-event-id', '-1')) + 1
        for number in range(first, EVENTS):
            if preempts and number == PREEMPTED_AFTER:
                engine.record(f'{engine.engine_id} preempts {name}')
                await asyncio.sleep(PREEMPTED_S)
                engine.record(f'{engine.engine_id} goes on with {name}')
            await standins.write_event(writer, number)
            await asyncio.sleep(PAUSE_S)
        writer.write(b'0\r\n\r\n')
        return True

    return handle


async def main():
    trouble = os.environ.get('TROUBLE', '1') != '0'
    case = os.path.dirname(os.path.abspath(__file__))
    engines = [(f'i-model-{n}', 'lace-model', model(trouble)) for n in (1, 2)]
    async with standins.System(case, engines) as system:
        host, record = system.hosts[0], system.record
        start = time.monotonic()
        answers = []

        def now():
            return time.monotonic() - start

        async def ask(number):
            await asyncio.sleep(FIRST_S + number * STEP_S - now())
            name, sent_s = f'ask-{number}', now()
            answer = await standins.Caller(host.front).request(
                name,
                'POST',
                f'/ask/{number}',
                standins.chat_headers(1800, 25, int(DEADLINE_S * 1000)),
                b'red laces?',
                DEADLINE_S,
            )
            answer.name, answer.ended_s = name, now()
            record(f'{name} sent {sent_s - TERM_S:+.2f} s from the SIGTERM, answered {answer.status}, complete: {answer.complete}, {answer.took:.2f} s, events {answer.body.count(b"data:")}')
            answers.append(answer)

        async def stop():
            leaving = system.engines[1]
            leaving.register(system.store, 'draining')
            record(f'{leaving.engine_id} reports draining')
            await asyncio.sleep(TERM_S - now())
            host.process.send_signal(signal.SIGTERM)
            record(f'SIGTERM to {host.name}')

        async with asyncio.TaskGroup() as group:
            group.create_task(stop())
            for number in range(int((LAST_S - FIRST_S) / STEP_S) + 1):
                group.create_task(ask(number))
        ran = {name for engine in system.engines for name in engine.ran}
        lost = [
            answer
            for answer in answers
            if answer.name in ran
            and not answer.complete
            and not answer.timed_out
            and TERM_S <= answer.ended_s <= TERM_S + GRACE_S + 1
        ]
        for answer in lost:
            record(f'LOST: {answer.name} was passed on, and the host ended its connection after {answer.took:.2f} s of {DEADLINE_S} s')
        if not any(answer.complete for answer in answers) and not lost:
            raise standins.CannotRun('nothing was answered')
    if lost:
        return f'LOST: {len(lost)} of {len(answers)} streams were cut around the stop of a host, for the silence of a sound engine'


if __name__ == '__main__':
    standins.run(main)
