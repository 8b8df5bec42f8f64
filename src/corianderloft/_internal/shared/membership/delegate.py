"""What membership needs to know of the rest of the host."""

import typing

from corianderloft._internal.models import ids
from corianderloft._internal.shared.peers import messages


class Knowledge(typing.Protocol):
    """Revisions to tell to peers, and what peers told."""

    def configuration_revision(self) -> ids.Revision:
        """Return the configuration in force on this host."""

    def platform_revision(self) -> ids.Revision:
        """Return how far the platform's lists are known."""

    def verified_age(self) -> float:
        """Return how long ago the configuration was surely the newest."""

    def heard(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        """Take in the revisions of any message of a peer."""

    def confirmed(self, asked_at: float, message: messages.Datagram) -> None:
        """Take in an answer to a question of this host.

        Parameters
        ----------
        asked_at : float
            When the question was sent, on trio's clock, in seconds.
        message : Datagram
            The answer.
        """

    def members_changed(self) -> None:
        """Take note that a member changed its state."""

    def backend_leaving(self, engine_id: ids.EngineId, age: float) -> bool:
        """Take note that a backend server said that it leaves.

        Returns
        -------
        bool
            Whether that is news.
        """
