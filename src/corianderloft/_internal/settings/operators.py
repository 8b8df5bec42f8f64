"""Section ``operators``: the port for operators."""

from corianderloft._internal.security import operators
from corianderloft._internal.settings import base


class Credential(base.Section):
    """Token of one operator."""

    name: str = base.setting(..., 'Who holds the token.')
    role: operators.Role = base.setting(
        operators.Role.VIEWER, 'Role: `viewer` reads; `operator` also drains.'
    )
    token_sha256: str = base.setting(
        ...,
        'SHA-256 of the token, in hexadecimal.',
        pattern='^[0-9a-f]{64}$',
    )


class OperatorSettings(base.Section):
    """The port for operators."""

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
        64, 'Connections held open at the same time.', gt=0
    )
    credentials: tuple[Credential, ...] = base.setting(
        (), 'Tokens that the port accepts; without any, only /healthz answers.'
    )
    explained_requests: int = base.setting(
        2000, 'Recent requests kept for `explain`.', gt=0
    )
