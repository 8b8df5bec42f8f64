"""Generation, hashing and lookup of workspace keys.

Keys are random 256-bit tokens, so a plain SHA-256 hash cannot be brute-forced;
a slow password hash would only add latency to each request.
"""

import collections.abc
import hashlib
import hmac
import secrets

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids

KEY_PREFIX = 'clk_'
KEY_RANDOM_BYTES = 32
MAX_KEY_CHARACTERS = 256


def new_key() -> str:
    """Return a new random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_RANDOM_BYTES)


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a key, in hexadecimal."""
    return hashlib.sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()


class KeyIndex:
    """Workspaces by the hashes of their keys.

    Lookups use the hash, never the key itself, so that their timing reveals
    nothing about a key that an attacker could exploit.
    """

    def __init__(
        self, workspaces: collections.abc.Iterable[catalog.Workspace] = ()
    ) -> None:
        self._by_hash: dict[str, catalog.Workspace] = {}
        self._hashes: dict[ids.WorkspaceId, tuple[str, ...]] = {}
        for workspace in workspaces:
            self.put(workspace)

    def put(self, workspace: catalog.Workspace) -> None:
        """Add a workspace, or replace it together with its keys."""
        self.remove(workspace.workspace_id)
        hashes = tuple(h.lower() for h in workspace.key_hashes)
        self._hashes[workspace.workspace_id] = hashes
        self._by_hash.update((h, workspace) for h in hashes)

    def remove(self, workspace_id: ids.WorkspaceId) -> None:
        """Remove a workspace and its keys."""
        for key_hash in self._hashes.pop(workspace_id, ()):
            owner = self._by_hash.get(key_hash)
            if owner is not None and owner.workspace_id == workspace_id:
                del self._by_hash[key_hash]

    def find(self, key: str) -> catalog.Workspace | None:
        """Return the workspace that owns ``key``, or None."""
        if len(key) > MAX_KEY_CHARACTERS:
            return None
        presented = hash_key(key)
        workspace = self._by_hash.get(presented)
        if workspace is None:
            return None
        matches = [
            hmac.compare_digest(presented, known)
            for known in self._hashes[workspace.workspace_id]
        ]
        return workspace if any(matches) else None
