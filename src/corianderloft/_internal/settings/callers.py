"""Section ``callers``: the port for callers."""

from corianderloft._internal.settings import base


class CallerSettings(base.Section):
    """The port for callers."""

    port: int = base.setting(
        0, 'TCP port; 0 lets the kernel choose.', ge=0, le=65535
    )
    tls_certificate: str | None = base.setting(
        None, 'File with the certificate chain (PEM); null serves plain HTTP.'
    )
    tls_key: str | None = base.setting(
        None, 'File with the private key (PEM) of the certificate.'
    )
    max_connections: int = base.setting(
        2000, 'Connections held open at the same time.', gt=0
    )
    max_header_bytes: int = base.setting(
        16384, 'Largest request line with headers.', 'bytes', ge=1024
    )
    max_body_bytes: int = base.setting(
        4194304, 'Largest body of a request.', 'bytes', ge=1024
    )
    max_body_values: int = base.setting(
        100000,
        'JSON values in the body of a chat completion; each takes up to 512 '
        'bytes of memory while it is checked.',
        ge=1000,
    )
    read_time: float = base.setting(
        20.0, 'Time for the body of a request to arrive.', 's', gt=0
    )
    idle_time: float = base.setting(
        20.0,
        'Time for the headers of a request to arrive, on a new or an idle '
        'connection.',
        's',
        gt=0,
    )
    stalled_time: float = base.setting(
        20.0,
        'Time after which a connection whose other end acknowledges nothing '
        'is closed.',
        's',
        gt=0,
    )
    drain_time: float = base.setting(
        120.0,
        'Bound on the wait for requests in flight, after the last address '
        'answer has run out.',
        's',
        ge=0,
    )
    shortened_drain_time: float = base.setting(
        1.0,
        'Bound on the wait for requests in flight after a second SIGTERM.',
        's',
        ge=0,
    )
    answer_kept_time: float = base.setting(
        30.0,
        'Time that an answer whose caller was lost can be fetched.',
        's',
        ge=0,
    )
    answer_kept_bytes: int = base.setting(
        65536, 'End of each answer kept for a lost caller.', 'bytes', ge=0
    )
    answers_kept_bytes: int = base.setting(
        33554432, 'All answers kept that nobody works on.', 'bytes', ge=0
    )
