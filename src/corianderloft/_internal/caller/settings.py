"""Settings of the client library."""

import dataclasses
import ssl


@dataclasses.dataclass(frozen=True)
class ClientSettings:
    """Settings of a client; all times are in seconds.

    Attributes
    ----------
    failure_domain : str or None
        Failure domain whose hosts are preferred.
    connect_time : float
        Timeout for establishing a connection.
    first_silence : float
        Timeout for the start of a response.
    silence : float
        Timeout for the next token; longer than hosts need to detect a silent
        engine and continue on another one.
    penalty_time : float
        Time for which a failed host is tried last.
    max_attempts : int
        Maximum number of requests sent for one answer.
    claim_wait : float
        Polling interval for the outcome of a call that may still be running.
    tls : SSLContext or None
        TLS context for connections to hosts; None means plain TCP.
    """

    failure_domain: str | None = None
    connect_time: float = 1.0
    first_silence: float = 60.0
    silence: float = 10.0
    penalty_time: float = 5.0
    max_attempts: int = 6
    claim_wait: float = 0.5
    tls: ssl.SSLContext | None = None
