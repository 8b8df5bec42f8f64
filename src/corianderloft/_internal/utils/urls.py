"""URLs of processes, by IP number or name and port."""

import urllib.parse

ALLOWED = 'IP:PORT, http://IP:PORT or https://IP:PORT'
SCHEMES = ('http', 'https')


def with_scheme(text: str) -> str:
    """Return ``text`` as a URL; plain HTTP unless it says otherwise."""
    return text if '://' in text else f'http://{text}'


def is_origin(url: str) -> bool:
    """Whether a URL names a scheme, a host and a port, and nothing else."""
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError:
        return False
    plain = parts.path in ('', '/') and not parts.query
    named = parts.scheme in SCHEMES and bool(parts.hostname)
    return named and plain and port is not None
