"""Stand-in for the platform's API, which also checks the calls to it."""

import dataclasses

import trio

from corianderloft._internal.gateway.duties import interface
from corianderloft._internal.standin import http
from corianderloft._internal.utils import clock


@dataclasses.dataclass(frozen=True)
class ApiCall:
    """A call that arrived."""

    at: float
    holder: str
    token: int
    path: str
    body: dict


class PlatformApi:
    """Keeps the calls that arrive.

    Attributes
    ----------
    calls : list of ApiCall
        Calls in the order of their arrival.
    status : int or None
        Status of the replies; None for no reply.
    """

    def __init__(self):
        self.calls = []
        self.status = 200

    def app(self):
        """Return the ASGI application."""
        return http.Routes(
            {'POST /usage': self._serve, 'POST /scale': self._serve}
        )

    async def _serve(self, call):
        headers = call.headers
        status = self.take(
            headers['corianderloft-duty-holder'],
            int(headers['corianderloft-fencing-token']),
            call.path,
            call.json(),
        )
        if status is None:
            await trio.sleep_forever()
        await call.reply({}, status)

    def take(self, holder, token, path, body):
        """Keep a call and return the status of its reply."""
        now = trio.current_time()
        self.calls.append(ApiCall(now, holder, token, path, body))
        return self.status

    def reports(self):
        """Return the counts that were reported of each window."""
        found = {}
        for call in self.calls:
            if call.path == '/usage':
                counts = found.setdefault(call.body['window'], [])
                counts.append(call.body['counts'])
        return found

    def check(self, lease_time):
        """Assert what must hold for any history of calls."""
        holders = {}
        for call in self.calls:
            assert holders.setdefault(call.token, call.holder) == call.holder
        tokens = [call.token for call in self.calls]
        assert tokens == sorted(tokens), 'a lower token arrived later'
        runs = []
        for call in self.calls:
            if not runs or runs[-1][0].holder != call.holder:
                runs.append([call, call])
            runs[-1][1] = call
        for before, _, after in zip(runs, runs[1:], runs[2:]):
            if before[0].holder == after[0].holder:
                assert after[0].at - before[1].at >= lease_time
        for window, reported in self.reports().items():
            assert all(r == reported[0] for r in reported), window


class ApiClient:
    """Calls the stand-in without a network, as one host.

    Parameters
    ----------
    api : PlatformApi
        The stand-in.
    host_id : str
        ID of the host.
    thawed : callable
        Waits until the host is not frozen.
    """

    def __init__(self, api, host_id, thawed):
        self.api = api
        self.host_id = host_id
        self.thawed = thawed

    async def report_usage(self, window, counts, held):
        body = {'window': window, 'counts': dict(counts)}
        return await self._call('/usage', body, held)

    async def order_engines(self, held):
        return await self._call('/scale', {}, held)

    async def _call(self, path, body, held):
        call_until = clock.now() + interface.CALL_TIMEOUT_S
        if call_until >= held.valid_until:
            return interface.NotSent('the lease does not last for the call')
        await trio.sleep(0.01)
        await self.thawed()
        if clock.now() >= call_until:
            return interface.NotSent('the request came too late')
        status = self.api.take(self.host_id, held.token, path, body)
        if status is None:
            await trio.sleep(interface.CALL_TIMEOUT_S - 0.01)
            return interface.NoReply('no reply')
        if status == 200:
            return interface.Accepted()
        return interface.Rejected(status)
