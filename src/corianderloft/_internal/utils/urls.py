"""URLs that consist of a scheme, a host and a port."""

import urllib.parse

ALLOWED = 'IP:PORT, http://IP:PORT or https://IP:PORT'
SCHEMES = ('http', 'https')


def with_scheme(text: str) -> str:
    """Return ``text`` as a URL; the scheme defaults to ``http``."""
    return text if '://' in text else f'http://{text}'


def is_origin(url: str) -> bool:
    """Return whether a URL consists of only a scheme, a host and a port."""
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError:
        return False
    no_path_or_query = parts.path in ('', '/') and not parts.query
    has_host = parts.scheme in SCHEMES and bool(parts.hostname)
    return has_host and no_path_or_query and port is not None
