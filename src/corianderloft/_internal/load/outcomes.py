"""How one request of a load run ended."""

import dataclasses
import enum
import statistics

from corianderloft._internal.load import events
from corianderloft._internal.load import schedule


class OutcomeKind(enum.Enum):
    """How a request ended, as its caller saw it."""

    COMPLETE = 'complete'
    WRONG = 'wrong'
    CUT = 'cut'
    REFUSED = 'refused'
    TIMEOUT = 'timeout'
    UNREACHABLE = 'unreachable'
    NOT_SENT = 'not_sent'


@dataclasses.dataclass
class Outcome:
    """One request and how it ended.

    Attributes
    ----------
    arrival : Arrival
        The request.
    kind : OutcomeKind
        How it ended.
    detail : str
        Reason of a refusal, or what went wrong.
    run : str
        What a refusal says about whether it ran.
    token_times : list of float
        When each token came, in seconds after the scheduled time.
    tokens : int
        Tokens received.
    total : float
        When it ended, in seconds after the scheduled time.
    start_lag : float
        How late the generator itself sent it, in seconds.
    repeated_tokens : int
        Tokens that came twice.
    switched : int
        Addresses that could not be reached before.
    resumed : int
        Times that the request went on after a lost connection.
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
    switched: int = 0
    resumed: int = 0

    @property
    def first_token(self) -> float:
        """First token, or the end of an answer without a stream."""
        return self.token_times[0] if self.token_times else self.total

    @property
    def gaps(self) -> list[float]:
        """Times between tokens, in seconds."""
        return events.gaps_of(self.token_times)

    @property
    def attained(self) -> bool:
        """Whether the whole answer came and met its targets."""
        load_class = self.arrival.load_class
        if self.kind is not OutcomeKind.COMPLETE:
            return False
        if self.first_token > load_class.first_token_target:
            return False
        gaps = self.gaps
        return (
            not gaps or statistics.fmean(gaps) <= load_class.token_gap_target
        )
