"""The plain service as an ASGI application; it counts what ran."""

import collections

import trio

from corianderloft._internal.standin import http
from corianderloft._internal.standin import settings as standin_settings
from corianderloft._internal.utils import tasks


async def serve_service(
    settings: standin_settings.ServiceSettings,
    task_status: tasks.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
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

    def routes(self) -> http.Routes:
        """Return the application."""
        return http.Routes(
            {
                'POST /bookings': self._book,
                'GET /bookings': self._list,
                'GET /healthz': self._health,
            }
        )

    async def _book(self, call: http.Call) -> None:
        body = call.json() or {}
        booking = body.get('booking')
        if not isinstance(booking, str):
            await call.reply({'error': 'booking must be a string'}, 400)
            return
        self._runs[booking] += 1
        await trio.sleep(self._settings.service_time)
        await call.reply({'booking': booking, 'runs': self._runs[booking]})

    async def _list(self, call: http.Call) -> None:
        await call.reply({'bookings': dict(self._runs)})

    async def _health(self, call: http.Call) -> None:
        await call.reply({'state': 'live'})
