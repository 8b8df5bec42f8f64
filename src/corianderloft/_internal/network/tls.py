"""TLS contexts whose certificate is renewed while they serve."""

import logging
import os
import ssl
import typing

import trio

logger = logging.getLogger(__name__)

CHECK_INTERVAL = 5.0
"""Time between two looks at the certificate files, in seconds."""


class Certificate:
    """A certificate with its key, read again when the files change.

    Parameters
    ----------
    certificate : str
        File with the certificate chain (PEM).
    key : str or None
        File with the private key (PEM); None when it is in ``certificate``.

    Raises
    ------
    OSError
        If a file cannot be read.
    ssl.SSLError
        If the files hold no certificate and key that belong together.
    """

    def __init__(self, certificate: str, key: str | None) -> None:
        self._certificate = certificate
        self._key = key
        self._seen = self._stamp()
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.context.set_alpn_protocols(['http/1.1'])
        self.context.load_cert_chain(certificate, key)

    def reload(self) -> bool:
        """Load the files if they changed; new connections use them.

        Returns
        -------
        bool
            Whether a renewed certificate is in use. Files that cannot be
            used are reported and the old certificate stays.
        """
        try:
            stamp = self._stamp()
            if stamp == self._seen:
                return False
            # A failed load leaves a context unusable, so try on a new one.
            trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            trial.load_cert_chain(self._certificate, self._key)
            self.context.load_cert_chain(self._certificate, self._key)
        except (OSError, ssl.SSLError) as exc:
            logger.error(
                'certificate %s not renewed: %s', self._certificate, exc
            )
            return False
        self._seen = stamp
        logger.info('certificate %s renewed', self._certificate)
        return True

    async def watch(self) -> typing.NoReturn:
        """Reload the files whenever they change."""
        while True:
            await trio.sleep(CHECK_INTERVAL)
            self.reload()

    def _stamp(self) -> tuple[float, ...]:
        files = [self._certificate] + ([self._key] if self._key else [])
        return tuple(os.stat(name).st_mtime_ns for name in files)
