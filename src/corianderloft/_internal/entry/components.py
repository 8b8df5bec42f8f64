"""What the parts of an entry host share."""

import collections.abc
import dataclasses

from corianderloft._internal.decisions import interface as decisions
from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import priorities
from corianderloft._internal.entry import records
from corianderloft._internal.entry import responses
from corianderloft._internal.models import backends
from corianderloft._internal.network import connections
from corianderloft._internal.network import outbound
from corianderloft._internal.network import silence
from corianderloft._internal.settings import root
from corianderloft._internal.shared import interface as shared_state

Waits = collections.abc.Callable[[], collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Parts:
    """The parts of one entry host.

    Attributes
    ----------
    settings : Settings
        Settings of the host.
    shared : SharedState
        What the hosts share.
    dispatcher : Dispatcher
        Takes the decisions.
    kept : Connections
        Kept connections to backend servers.
    watch : SilenceWatch
        Notices silent backend servers.
    priorities : Priorities
        Tells engines of changed priorities.
    answers : Answers
        Answers kept for lost callers.
    records : Records
        Recent requests.
    inflight : InFlight
        Requests in flight.
    """

    settings: root.Settings
    shared: shared_state.SharedState
    dispatcher: decisions.Dispatcher
    kept: connections.Connections
    watch: silence.SilenceWatch
    priorities: priorities.Priorities
    answers: responses.Answers
    records: records.Records
    inflight: inflight.InFlight


def assemble(
    settings: root.Settings,
    shared: shared_state.SharedState,
    dispatcher: decisions.Dispatcher,
) -> Parts:
    """Return the parts of a host around its shared state and decisions."""
    callers = settings.callers
    kept = connections.Connections(settings.backends)
    watch = silence.SilenceWatch()

    def exchange(backend: backends.Backend) -> outbound.Outbound:
        name = f'engine {backend.engine_id!r}'
        cfg = settings.backends
        return outbound.Outbound(kept, watch, backend, name, cfg.connect_time)

    return Parts(
        settings=settings,
        shared=shared,
        dispatcher=dispatcher,
        kept=kept,
        watch=watch,
        priorities=priorities.Priorities(exchange),
        answers=responses.Answers(
            callers.answer_kept_time, callers.answers_kept_bytes
        ),
        records=records.Records(settings.operators.explained_requests),
        inflight=inflight.InFlight(),
    )
