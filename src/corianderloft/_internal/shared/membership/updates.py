"""What this host has to pass on to the others."""

import trio

from corianderloft._internal.models import ids
from corianderloft._internal.shared import interface
from corianderloft._internal.shared.membership import piggyback
from corianderloft._internal.shared.membership import view
from corianderloft._internal.shared.peers import messages


class News:
    """Hosts that changed, and backend servers that leave.

    Parameters
    ----------
    members : View
        What is known of the hosts.
    """

    def __init__(self, members: view.View) -> None:
        self._view = members
        self._hosts: piggyback.RumorQueue[ids.HostId] = piggyback.RumorQueue()
        self._leaving_since: dict[ids.EngineId, float] = {}
        self._notes: piggyback.RumorQueue[ids.EngineId] = (
            piggyback.RumorQueue()
        )

    def add_host(self, host_id: ids.HostId) -> None:
        """Begin to pass on how a host is seen."""
        self._hosts.add(host_id)

    def add_note(self, note: messages.BackendNote) -> None:
        """Begin to pass on that a backend server leaves."""
        self._leaving_since[note.engine_id] = trio.current_time() - note.age
        self._notes.add(note.engine_id)

    def take_hosts(self, fleet: int) -> tuple[interface.Host, ...]:
        """Return hosts for one message.

        Parameters
        ----------
        fleet : int
            Number of hosts known.
        """
        told = (self._host(host_id) for host_id in self._hosts.take(fleet))
        return tuple(host for host in told if host)

    def take_notes(self, fleet: int) -> tuple[messages.BackendNote, ...]:
        """Return notes on backend servers for one message.

        Parameters
        ----------
        fleet : int
            Number of hosts known.
        """
        now = trio.current_time()
        return tuple(
            messages.BackendNote(
                engine_id, now - self._leaving_since[engine_id]
            )
            for engine_id in self._notes.take(fleet)
        )

    def _host(self, host_id: ids.HostId) -> interface.Host | None:
        if host_id == self._view.own.host_id:
            return self._view.own
        return self._view.get(host_id)
