"""Components of an entry host and their assembly."""

import collections.abc
import dataclasses

from corianderloft._internal.decisions import interface as decisions
from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import priorities
from corianderloft._internal.entry import records
from corianderloft._internal.entry import responses
from corianderloft._internal.models import backends
from corianderloft._internal.network import byte_budget
from corianderloft._internal.network import connections
from corianderloft._internal.network import memory
from corianderloft._internal.network import outbound
from corianderloft._internal.network import silence
from corianderloft._internal.placement import crash_evidence
from corianderloft._internal.settings import root
from corianderloft._internal.shared import interface as shared_state

AsyncFunction = collections.abc.Callable[[], collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class HostComponents:
    """The components of one entry host.

    Attributes
    ----------
    settings : Settings
        Settings of the host.
    shared : SharedState
        State shared between hosts.
    dispatcher : Dispatcher
        Schedules and routes requests.
    connections : Connections
        Connection pool for backend servers.
    silence_watch : SilenceMonitor
        Times out backend servers that stop responding.
    priority_updater : PriorityUpdater
        Sends priority changes of running requests to engines.
    responses : ResponseStore
        Responses that callers can resume.
    records : RecordStore
        Records of recent requests.
    inflight : InFlightRequests
        Requests in flight.
    crashes : CrashEvidence
        Requests that crash backend servers, as seen by this host.
    memory : Memory
        Byte budget of the process.
    """

    settings: root.Settings
    shared: shared_state.SharedState
    dispatcher: decisions.Dispatcher
    connections: connections.Connections
    silence_watch: silence.SilenceMonitor
    priority_updater: priorities.PriorityUpdater
    responses: responses.ResponseStore
    records: records.RecordStore
    inflight: inflight.InFlightRequests
    crashes: crash_evidence.CrashEvidence
    memory: memory.Memory


PROCESS_BYTES = 72 * 10**6
"""Memory of the process without callers' connections and kept answers."""


def byte_sizes(settings: root.Settings) -> byte_budget.Sizes:
    """Return the sizes of the byte budget of a host.

    Answers are kept for lost callers beside it, and the end of each answer in
    progress.
    """
    cfg = settings.callers
    return byte_budget.sizes(
        settings.host.memory_bytes,
        PROCESS_BYTES + cfg.answers_kept_bytes,
        byte_budget.CONNECTION_BYTES + cfg.answer_kept_bytes,
    )


def build_components(
    settings: root.Settings,
    shared: shared_state.SharedState,
    dispatcher: decisions.Dispatcher,
) -> HostComponents:
    """Build the components of a host."""
    caller_cfg = settings.callers
    backend_connections = connections.Connections(
        settings.backends, small_buffers=bool(settings.host.memory_bytes)
    )
    silence_watch = silence.SilenceMonitor()

    def open_exchange(backend: backends.Backend) -> outbound.Outbound:
        name = f'engine {backend.engine_id!r}'
        cfg = settings.backends
        return outbound.Outbound(
            backend_connections, silence_watch, backend, name, cfg.connect_time
        )

    return HostComponents(
        settings=settings,
        shared=shared,
        dispatcher=dispatcher,
        connections=backend_connections,
        silence_watch=silence_watch,
        priority_updater=priorities.PriorityUpdater(open_exchange),
        responses=responses.ResponseStore(
            caller_cfg.answer_kept_time, caller_cfg.answers_kept_bytes
        ),
        records=records.RecordStore(settings.operators.explained_requests),
        inflight=inflight.InFlightRequests(),
        crashes=crash_evidence.CrashEvidence(),
        memory=memory.Memory(byte_budget.ByteBudget(byte_sizes(settings))),
    )
