"""Stored representation of a claim."""

import base64
import dataclasses
import enum
import hashlib

import pydantic

from corianderloft._internal.models import ids

CLAIM_PREFIX = 'corianderloft/claims/'
MAX_BODY_BYTES = 65536


class ClaimState(enum.Enum):
    """Whether the response of a claimed call is stored."""

    CLAIMED = 'claimed'
    DONE = 'done'


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """One claim of an idempotency key.

    Attributes
    ----------
    token : str
        Unique id of the claim.
    host_id : HostId
        Host that is allowed to run the call.
    incarnation : Incarnation
        Incarnation of that host.
    body_hash : str
        Hash of the request body.
    state : ClaimState
        Whether the response is stored.
    status : int
        HTTP status of the response.
    content_type : str
        Content type of the response.
    body : str
        Response body in base64.
    body_kept : bool
        False if the response body exceeds `MAX_BODY_BYTES` and was dropped.
    """

    token: str
    host_id: ids.HostId
    incarnation: ids.Incarnation
    body_hash: str
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    content_type: str = ''
    body: str = ''
    body_kept: bool = True

    def with_response(
        self, status: int, content_type: str, body: bytes
    ) -> 'ClaimRecord':
        """Return the record completed with the response of the call."""
        kept = len(body) <= MAX_BODY_BYTES
        return dataclasses.replace(
            self,
            state=ClaimState.DONE,
            status=status,
            content_type=content_type,
            body=base64.b64encode(body).decode() if kept else '',
            body_kept=kept,
        )


RECORD = pydantic.TypeAdapter(ClaimRecord)


def claim_key(
    workspace: ids.WorkspaceId,
    service: ids.ServiceName,
    key: ids.IdempotencyKey,
) -> str:
    """Return the stored key for the claim of an idempotency key.

    The parts are hashed because callers choose their length and characters.
    """
    digest = hashlib.blake2b(digest_size=20)
    for part in (workspace, service, key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    return CLAIM_PREFIX + digest.hexdigest()
