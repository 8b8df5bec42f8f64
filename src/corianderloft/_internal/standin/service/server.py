"""The plain service as an ASGI application; it counts what ran."""

import collections

import trio

from corianderloft._internal.standin import faults
from corianderloft._internal.standin import http
from corianderloft._internal.standin.service import faults as service_faults
from corianderloft._internal.standin import settings as standin_settings


async def serve_service(
    settings: standin_settings.ServiceSettings,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a plain service on loopback; reports the bound port."""
    service = PlainService(settings)
    await http.serve(service.routes(), settings.port, task_status)


class PlainService:
    """Bookings, each of which should run at most once.

    Parameters
    ----------
    settings : ServiceSettings
        How long a booking takes.
    """

    def __init__(self, settings: standin_settings.ServiceSettings) -> None:
        self._settings = settings
        self._runs: collections.Counter[str] = collections.Counter()
        self._answered = 0
        self._refused = 0
        self.faults = service_faults.Faults()

    def routes(self) -> http.Routes:
        """Return the application."""
        return http.Routes(
            {
                'POST /bookings': self._book,
                'GET /bookings': self._list,
                'GET /stock/*': self._stock,
                'GET /healthz': self._health,
                'POST /control/faults': self._set_faults,
                'GET /control/counts': self._counts,
            }
        )

    async def _book(self, call: http.Call) -> None:
        booking = (call.json() or {}).get('booking')
        if not isinstance(booking, str):
            await call.reply({'error': 'booking must be a string'}, 400)
            return
        if await self._refuses(call):
            return
        await trio.sleep(self.faults.delay)
        self._runs[booking] += 1
        await trio.sleep(self._settings.service_time)
        await self._answer(
            call, {'booking': booking, 'runs': self._runs[booking]}
        )

    async def _refuses(self, call: http.Call) -> bool:
        """Refuse a call as not run if the faults say so."""
        if not self.faults.leaving and not self.faults.take('refuse_not_run'):
            return False
        self._refused += 1
        error = {
            'error': {'code': 'leaving' if self.faults.leaving else 'busy'}
        }
        await call.reply(error, 503, {'x-not-run': 'true'})
        return True

    async def _answer(self, call: http.Call, body: dict[str, object]) -> None:
        """Answer a call that ran, or fail to."""
        if self.faults.hang:
            await call.disconnected()
        elif self.faults.take('lose_answers'):
            await call.cut()
        elif self.faults.take('fail_after_run'):
            await call.reply({'error': {'code': 'failed'}}, 500)
        else:
            self._answered += 1
            await call.reply(body)

    async def _stock(self, call: http.Call) -> None:
        if await self._refuses(call):
            return
        await trio.sleep(self.faults.delay + self._settings.service_time)
        await self._answer(call, {'item': call.path.rpartition('/')[2]})

    async def _list(self, call: http.Call) -> None:
        await call.reply({'bookings': dict(self._runs)})

    async def _health(self, call: http.Call) -> None:
        state = 'leaving' if self.faults.leaving else 'live'
        await call.reply({'state': state})

    async def _set_faults(self, call: http.Call) -> None:
        await faults.change(call, self.faults)

    async def _counts(self, call: http.Call) -> None:
        await call.reply(
            {
                'bookings': len(self._runs),
                'runs': self._runs.total(),
                'answered': self._answered,
                'refused': self._refused,
            }
        )
