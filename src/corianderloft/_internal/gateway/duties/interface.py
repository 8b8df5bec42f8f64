"""Calls that the holder of the duties makes to the platform's API.

The client is part of `platform`, which alone knows the names of headers and
fields. Calls return an outcome and do not raise for an outage or a refusal.
"""

import collections.abc
import dataclasses
import typing

from corianderloft._internal.models import ids

CALL_TIMEOUT_S = 1.0
"""Time after which a call is abandoned. A call is started only if the lease
remains valid for longer, so that none arrives after the lease has ended."""


@dataclasses.dataclass(frozen=True)
class Held:
    """The lease for the duties as known to its holder.

    Attributes
    ----------
    token : FencingNumber
        Fencing token, larger than that of every earlier holder.
    acts_from : float
        Time before which the holder must not act, on `clock.now`, in seconds.
    valid_until : float
        Time from which the holder must not act, on `clock.now`, in seconds.
    taken_at : float or None
        When the lease was acquired, on `clock.now`; None if not known, which
        counts as ``acts_from``.
    """

    token: ids.FencingNumber
    acts_from: float
    valid_until: float
    taken_at: float | None = None


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The call took effect."""


@dataclasses.dataclass(frozen=True)
class NoneAvailable:
    """No engines of the ordered kind are available in the failure domain."""


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The platform answered that the call did not take effect.

    Attributes
    ----------
    status : int
        HTTP status code; 429 for too many calls.
    """

    status: int


@dataclasses.dataclass(frozen=True)
class NotSent:
    """The call was not sent: no connection, or no call is left to this host.

    Attributes
    ----------
    detail : str
        The cause, for the log.
    """

    detail: str


@dataclasses.dataclass(frozen=True)
class NoReply:
    """The call may or may not have taken effect.

    Attributes
    ----------
    detail : str
        The cause, for the log.
    """

    detail: str


UsageOutcome = Accepted | Rejected | NotSent | NoReply
OrderOutcome = Accepted | NoneAvailable | Rejected | NotSent | NoReply


class DutyLease(typing.Protocol):
    """What the parts that act under the lease see of it."""

    def current(self, min_remaining: float = 0.0) -> Held | None:
        """Return the lease if this host may act on it now.

        Parameters
        ----------
        min_remaining : float
            Time for which the lease must remain valid, in seconds; at least
            `CALL_TIMEOUT_S` for a call.
        """


class PlatformApi(typing.Protocol):
    """The platform's API.

    Each call checks ``held`` again immediately before it is sent, and is not
    sent if the lease does not remain valid for its timeout.
    """

    async def report_usage(
        self,
        window: int,
        counts: collections.abc.Mapping[ids.WorkspaceId, int],
        held: Held,
    ) -> UsageOutcome:
        """Report the requests that began to run in a window.

        Parameters
        ----------
        window : int
            Number of the window since 1970.
        counts : mapping
            Requests of each workspace.
        held : Held
            The lease.
        """

    async def order_engines(
        self,
        service: ids.ServiceName,
        domain: ids.FailureDomain,
        count: int,
        reclaimable: bool,
        held: Held,
    ) -> OrderOutcome:
        """Set how many engines of a kind a service has in a failure domain.

        Parameters
        ----------
        service : ServiceName
            The service.
        domain : FailureDomain
            The failure domain.
        count : int
            Engines of this kind, including those that run already.
        reclaimable : bool
            Whether the engines are of the reclaimable kind.
        held : Held
            The lease.
        """
