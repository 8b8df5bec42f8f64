"""TLS server contexts that reload their certificate at runtime."""

import logging
import os
import ssl
import typing

import trio

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 5.0


class Certificate:
    """A certificate and key, reloaded when their files change.

    Parameters
    ----------
    certificate : str
        Path of the certificate chain (PEM).
    key : str or None
        Path of the private key (PEM); None if it is in ``certificate``.

    Raises
    ------
    OSError
        If a file cannot be read.
    ssl.SSLError
        If the files are malformed or the key does not match the certificate.
    """

    def __init__(self, certificate: str, key: str | None) -> None:
        self._certificate = certificate
        self._key = key
        self._loaded_stamp = self._stamp()
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.context.set_alpn_protocols(['http/1.1'])
        self.context.load_cert_chain(certificate, key)

    def reload(self) -> bool:
        """Load the files if they changed, for new connections.

        Returns
        -------
        bool
            Whether a new certificate was loaded. If the files are invalid,
            the error is logged and the old certificate remains in use.
        """
        try:
            stamp = self._stamp()
            if stamp == self._loaded_stamp:
                return False
            # A failed load leaves a context unusable, so try a new one first.
            trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            trial.load_cert_chain(self._certificate, self._key)
            self.context.load_cert_chain(self._certificate, self._key)
        except (OSError, ssl.SSLError) as exc:
            logger.error(
                'cannot reload certificate %s: %s', self._certificate, exc
            )
            return False
        self._loaded_stamp = stamp
        logger.info('reloaded certificate %s', self._certificate)
        return True

    async def watch(self) -> typing.NoReturn:
        """Reload the files whenever they change."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.reload()

    def _stamp(self) -> tuple[float, ...]:
        files = [self._certificate] + ([self._key] if self._key else [])
        return tuple(os.stat(name).st_mtime_ns for name in files)
