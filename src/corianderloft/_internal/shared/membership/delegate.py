"""Interface of the membership protocol to the rest of the host."""

import typing

from corianderloft._internal.models import ids
from corianderloft._internal.shared.peers import messages


class Delegate(typing.Protocol):
    """Provides the revisions sent to peers; receives those of peers."""

    def configuration_revision(self) -> ids.Revision:
        """Return the revision of the configuration applied on this host."""

    def platform_revision(self) -> ids.Revision:
        """Return the revision of this host's copy of the platform's lists."""

    def verified_age(self) -> float:
        """Return the seconds since the configuration was verified."""

    def on_message(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        """Process the revisions in a message from a peer."""

    def on_ack(self, requested_at: float, message: messages.Datagram) -> None:
        """Process the ack of a ping sent by this host.

        Parameters
        ----------
        requested_at : float
            When the ping was sent, on trio's clock, in seconds.
        message : Datagram
            The ack.
        """

    def on_members_changed(self) -> None:
        """Process a change of the state of a member."""

    def on_backend_leaving(self, engine_id: ids.EngineId, age: float) -> bool:
        """Process the announcement that a backend server is leaving.

        Returns
        -------
        bool
            Whether the announcement was new.
        """
