"""Plain service as an ASGI application that counts the runs of bookings."""

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
    """Serve a plain service on loopback.

    Reports the bound port through ``task_status``.
    """
    service = PlainService(settings)
    await http.serve(service.routes(), settings.port, task_status)


class PlainService:
    """Accepts bookings and counts how often each of them runs.

    Each booking should run at most once.

    Parameters
    ----------
    settings : ServiceSettings
        Port and duration of a booking.
    """

    def __init__(self, settings: standin_settings.ServiceSettings) -> None:
        self._settings = settings
        self._runs: collections.Counter[str] = collections.Counter()
        self._answered = 0
        self._refused = 0
        self.faults = service_faults.Faults()

    def routes(self) -> http.Routes:
        """Return the ASGI application."""
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
        if await self._refuse_on_fault(call):
            return
        await trio.sleep(self.faults.delay)
        self._runs[booking] += 1
        await trio.sleep(self._settings.service_time)
        await self._respond(
            call, {'booking': booking, 'runs': self._runs[booking]}
        )

    async def _refuse_on_fault(self, call: http.Call) -> bool:
        """Refuse a call as not run if a fault requires it."""
        if not self.faults.leaving and not self.faults.consume(
            'refuse_not_run'
        ):
            return False
        self._refused += 1
        error = {
            'error': {'code': 'leaving' if self.faults.leaving else 'busy'}
        }
        await call.reply(error, 503, {'x-not-run': 'true'})
        return True

    async def _respond(self, call: http.Call, body: dict[str, object]) -> None:
        """Respond to a call that ran, or fail according to the faults."""
        if self.faults.hang:
            await call.wait_disconnected()
        elif self.faults.consume('lose_answers'):
            await call.drop_connection()
        elif self.faults.consume('fail_after_run'):
            await call.reply({'error': {'code': 'failed'}}, 500)
        else:
            self._answered += 1
            await call.reply(body)

    async def _stock(self, call: http.Call) -> None:
        if await self._refuse_on_fault(call):
            return
        await trio.sleep(self.faults.delay + self._settings.service_time)
        await self._respond(call, {'item': call.path.rpartition('/')[2]})

    async def _list(self, call: http.Call) -> None:
        await call.reply({'bookings': dict(self._runs)})

    async def _health(self, call: http.Call) -> None:
        state = 'leaving' if self.faults.leaving else 'live'
        await call.reply({'state': state})

    async def _set_faults(self, call: http.Call) -> None:
        await faults.handle_update(call, self.faults)

    async def _counts(self, call: http.Call) -> None:
        await call.reply(
            {
                'bookings': len(self._runs),
                'runs': self._runs.total(),
                'answered': self._answered,
                'refused': self._refused,
            }
        )
