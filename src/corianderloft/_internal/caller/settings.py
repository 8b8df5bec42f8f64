"""Settings of the callers' library."""

import dataclasses
import ssl


@dataclasses.dataclass(frozen=True)
class ClientSettings:
    """How a client behaves; times in seconds.

    Attributes
    ----------
    failure_domain : str or None
        Prefer hosts in this failure domain.
    connect_time : float
        Time for a connection to be made.
    first_silence : float
        Longest wait for the begin of an answer.
    silence : float
        Longest wait for the next token; longer than hosts need to notice
        a silent engine and go on at another.
    penalty_time : float
        Time for which a host that failed is asked last.
    max_attempts : int
        Requests sent for one answer.
    claim_wait : float
        Wait before asking again for the outcome of a call that may run.
    tls : SSLContext or None
        Speaks TLS with hosts when given.
    """

    failure_domain: str | None = None
    connect_time: float = 1.0
    first_silence: float = 60.0
    silence: float = 10.0
    penalty_time: float = 5.0
    max_attempts: int = 6
    claim_wait: float = 0.5
    tls: ssl.SSLContext | None = None
