"""Outcome of one request of a load run."""

import dataclasses
import enum
import statistics

from corianderloft._internal.load import events
from corianderloft._internal.load import schedule


class OutcomeKind(enum.Enum):
    """How a request ended from the point of view of its caller."""

    COMPLETE = 'complete'
    WRONG = 'wrong'
    CUT = 'cut'
    REFUSED = 'refused'
    TIMEOUT = 'timeout'
    UNREACHABLE = 'unreachable'
    NOT_SENT = 'not_sent'


@dataclasses.dataclass
class Outcome:
    """Outcome of one request.

    Attributes
    ----------
    arrival : Arrival
        The request.
    kind : OutcomeKind
        How it ended.
    detail : str
        Reason of a refusal, or description of a failure.
    run : str
        Whether a refused request ran, as reported in the refusal.
    token_times : list of float
        Arrival time of each token, in seconds after the scheduled time.
    tokens : int
        Tokens received.
    total : float
        Time of the end, in seconds after the scheduled time.
    start_lag : float
        Delay between the scheduled time and the start of the request in the
        generator, in seconds.
    repeated_tokens : int
        Tokens that were received more than once.
    failed_connects : int
        Failed attempts to connect to an address.
    resumed : int
        Number of times the request was resumed after a lost connection.
    """

    arrival: schedule.Arrival
    kind: OutcomeKind = OutcomeKind.NOT_SENT
    detail: str = ''
    run: str = ''
    token_times: list[float] = dataclasses.field(default_factory=list)
    tokens: int = 0
    total: float = 0.0
    start_lag: float = 0.0
    repeated_tokens: int = 0
    failed_connects: int = 0
    resumed: int = 0

    @property
    def first_token(self) -> float:
        """Time to first token; total time if the response is not streamed."""
        return self.token_times[0] if self.token_times else self.total

    @property
    def gaps(self) -> list[float]:
        """Time gaps between tokens, in seconds."""
        return events.token_gaps(self.token_times)

    @property
    def attained(self) -> bool:
        """Whether the response is complete and met its targets."""
        load_class = self.arrival.load_class
        if self.kind is not OutcomeKind.COMPLETE:
            return False
        if self.first_token > load_class.first_token_target:
            return False
        gaps = self.gaps
        return (
            not gaps or statistics.fmean(gaps) <= load_class.token_gap_target
        )
