"""Updates that this host sends to the others."""

import trio

from corianderloft._internal.models import ids
from corianderloft._internal.shared import interface
from corianderloft._internal.shared.membership import piggyback
from corianderloft._internal.shared.membership import view
from corianderloft._internal.shared.peers import messages


class UpdateQueue:
    """Changed hosts and leaving backend servers, to be sent to peers.

    Parameters
    ----------
    members : View
        Current state of the hosts.
    """

    def __init__(self, members: view.View) -> None:
        self._view = members
        self._hosts: piggyback.PiggybackQueue[ids.HostId] = (
            piggyback.PiggybackQueue()
        )
        self._leaving_since: dict[ids.EngineId, float] = {}
        self._notes: piggyback.PiggybackQueue[ids.EngineId] = (
            piggyback.PiggybackQueue()
        )

    def add_host(self, host_id: ids.HostId) -> None:
        """Start to send the state of a host."""
        self._hosts.add(host_id)

    def add_note(self, note: messages.BackendNote) -> None:
        """Start to send that a backend server is leaving."""
        self._leaving_since[note.engine_id] = trio.current_time() - note.age
        self._notes.add(note.engine_id)

    def take_hosts(self, host_count: int) -> tuple[interface.Host, ...]:
        """Return the hosts to include in one message.

        Parameters
        ----------
        host_count : int
            Number of known hosts.
        """
        updated = (
            self._host(host_id) for host_id in self._hosts.take(host_count)
        )
        return tuple(host for host in updated if host)

    def take_notes(self, host_count: int) -> tuple[messages.BackendNote, ...]:
        """Return the notes on backend servers to include in one message.

        Parameters
        ----------
        host_count : int
            Number of known hosts.
        """
        now = trio.current_time()
        return tuple(
            messages.BackendNote(
                engine_id, now - self._leaving_since[engine_id]
            )
            for engine_id in self._notes.take(host_count)
        )

    def _host(self, host_id: ids.HostId) -> interface.Host | None:
        if host_id == self._view.own.host_id:
            return self._view.own
        return self._view.get(host_id)
