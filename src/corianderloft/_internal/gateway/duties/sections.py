"""Interface of the parts that share the datagrams to the candidates."""

import typing

from corianderloft._internal.models import ids


class Section(typing.Protocol):
    """A named part of the datagrams from every host to the candidates."""

    def encode(self) -> typing.Any:
        """Return a JSON-compatible value to send; None to send nothing."""

    def receive(
        self, host_id: ids.HostId, start: str, value: typing.Any, now: float
    ) -> None:
        """Use the value of a host.

        Parameters
        ----------
        host_id : HostId
            The host.
        start : str
            Distinguishes restarts of the host.
        value
            Value as decoded from JSON; not checked yet.
        now : float
            Current time on `clock.now`.

        Raises
        ------
        ValueError, TypeError, KeyError, AttributeError
            If the value is malformed; the datagram is counted as such.
        """
