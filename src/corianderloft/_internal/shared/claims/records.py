"""The stored form of a claim."""

import base64
import dataclasses
import enum
import hashlib

import pydantic

from corianderloft._internal.models import ids

CLAIM_PREFIX = 'corianderloft/claims/'
MAX_BODY_BYTES = 65536


class ClaimState(enum.Enum):
    """Whether the answer of a claimed call is known."""

    CLAIMED = 'claimed'
    DONE = 'done'


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """One claim.

    Attributes
    ----------
    token : str
        Identity of the claim.
    host_id : HostId
        Host that may run the call.
    incarnation : Incarnation
        Start of that host.
    body_hash : str
        Hash of the body of the call.
    state : ClaimState
        Whether the answer is known.
    status : int
        HTTP status of the answer.
    content_type : str
        Content type of the answer.
    body : str
        The answer, in base64.
    body_kept : bool
        False when the answer was longer than `MAX_BODY_BYTES`.
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

    def finished(
        self, status: int, content_type: str, body: bytes
    ) -> 'ClaimRecord':
        """Return the record with the answer of the call."""
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
    """Return the key that holds the claim of an idempotency key.

    The parts are hashed: callers choose their length and characters.
    """
    digest = hashlib.blake2b(digest_size=20)
    for part in (workspace, service, key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    return CLAIM_PREFIX + digest.hexdigest()
