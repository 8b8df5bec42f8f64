"""Interface through which the request path counts runs of requests."""

import typing

from corianderloft._internal.models import ids


class Run(typing.Protocol):
    """One run of a request on a backend server."""

    def began(self) -> None:
        """Record that the server began to run the request now.

        Further calls have no effect.
        """

    def did_not_run(self) -> None:
        """Record that the server did not run the request after all."""


class RunCounter(typing.Protocol):
    """Counts the runs of requests."""

    def run(self, workspace: ids.WorkspaceId | None) -> Run:
        """Return the run of a request that is sent to a backend server."""


class _Uncounted:
    def began(self) -> None:
        """Count nothing."""

    def did_not_run(self) -> None:
        """Count nothing."""


class NoCounter:
    """Counts nothing, where no usage is reported."""

    def run(self, workspace: ids.WorkspaceId | None) -> Run:
        """Return a run that is not counted."""
        return _UNCOUNTED


_UNCOUNTED = _Uncounted()
