"""Crashes of backend servers, and what of a request may cause them."""

import dataclasses
import hashlib

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances

ServerRun = tuple[ids.EngineId, int]
"""ID and start time of a backend server."""

HASH_BYTES = 16

_REQUEST_MARK = 'request:'
"""Beginning of the ID of a whole request."""


def is_request(suspect_id: ids.SuspectId) -> bool:
    """Return whether a suspect is a whole request, not a prompt part."""
    return suspect_id.startswith(_REQUEST_MARK)


def request_suspect(
    method: str, target: bytes, workspace: str, body: bytes
) -> ids.SuspectId:
    """Return the ID of a request, the same each time that it comes.

    It travels between hosts and is stored, so it must not tell what the
    caller sent.

    Parameters
    ----------
    method : str
        HTTP method.
    target : bytes
        Path with query.
    workspace : str
        Workspace of the caller.
    body : bytes
        The body.
    """
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for field in (method.encode(), target, workspace.encode()):
        digest.update(len(field).to_bytes(4, 'big'))
        digest.update(field)
    digest.update(body)
    return ids.SuspectId(_REQUEST_MARK + digest.hexdigest())


@dataclasses.dataclass(frozen=True)
class Suspects:
    """What of one request may be the cause of a crash.

    Attributes
    ----------
    parts : tuple of SuspectId
        Parts of its prompt that other requests may share.
    request : SuspectId or None
        The whole request; None if it cannot come again.
    """

    parts: tuple[ids.SuspectId, ...] = ()
    request: ids.SuspectId | None = None

    @property
    def all(self) -> tuple[ids.SuspectId, ...]:
        """The parts and the request."""
        if self.request is None:
            return self.parts
        return (*self.parts, self.request)


def suspects_of(
    prompt: instances.Prompt | None, request: ids.SuspectId | None = None
) -> Suspects:
    """Return the suspects of a request, with or without a prompt.

    Callers choose the IDs of parts; one that looks like that of a request
    could bring the request of another caller under suspicion.
    """
    shared = () if prompt is None else prompt.shared_parts
    parts = (ids.SuspectId(part.part_id) for part in shared)
    return Suspects(
        tuple(part for part in parts if not is_request(part)), request
    )


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """Crashes of one suspect.

    Attributes
    ----------
    suspect_id : SuspectId
        The prompt part or request.
    crashed : frozenset of ServerRun
        Servers that crashed with a request that had the part, or with the
        request.
    cleared : frozenset of ServerRun
        Those of them after whose crash such a response was complete.
    """

    suspect_id: ids.SuspectId
    crashed: frozenset[ServerRun]
    cleared: frozenset[ServerRun] = frozenset()
