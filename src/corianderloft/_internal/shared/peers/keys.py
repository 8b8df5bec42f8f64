"""Keyed hashes of messages, with keys that can be rotated."""

import collections.abc
import hashlib
import hmac

DIGEST_BYTES = 16


class KeyRing:
    """Signs with the first key and accepts every key of the ring.

    To rotate: add the new key last on all hosts, move it first, then remove
    the old one.

    Parameters
    ----------
    keys : sequence of (int, bytes)
        Number and secret of each key, the signing key first.
    """

    def __init__(
        self, keys: collections.abc.Sequence[tuple[int, bytes]]
    ) -> None:
        self.signing_id = keys[0][0]
        self._secrets = dict(keys)

    def sign(self, body: bytes) -> bytes:
        """Return the digest of ``body`` under the signing key."""
        return _digest(self._secrets[self.signing_id], body)

    def knows(self, key_id: int) -> bool:
        """Return whether a key is in the ring."""
        return key_id in self._secrets

    def accepts(self, key_id: int, digest: bytes, body: bytes) -> bool:
        """Return whether ``digest`` was made with a key of the ring."""
        secret = self._secrets.get(key_id)
        if secret is None:
            return False
        return hmac.compare_digest(digest, _digest(secret, body))


def _digest(secret: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(
        body,
        key=secret[: hashlib.blake2b.MAX_KEY_SIZE],
        digest_size=DIGEST_BYTES,
    ).digest()
