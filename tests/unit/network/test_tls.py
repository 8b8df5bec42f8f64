"""Tests of TLS on the port for callers."""

import os
import pathlib
import ssl

import httpcore
import pytest
import trio
import trustme

import corianderloft
from corianderloft._internal.network import tls
from tests.lib import engines
from tests.lib import entry


def _write(
    authority: trustme.CA, directory: pathlib.Path, renewed_at: int
) -> tuple[str, str]:
    issued = authority.issue_cert('127.0.0.1')
    chain = directory / 'chain.pem'
    key = directory / 'key.pem'
    chain.write_bytes(
        b''.join(blob.bytes() for blob in issued.cert_chain_pems)
    )
    key.write_bytes(issued.private_key_pem.bytes())
    for path in (chain, key):
        os.utime(path, ns=(renewed_at, renewed_at))
    return str(chain), str(key)


async def _serial(url: str, authority: trustme.CA) -> object:
    context = ssl.create_default_context()
    authority.configure_trust(context)
    origin = httpcore.URL(url).origin
    async with httpcore.AsyncHTTPConnection(
        origin, ssl_context=context
    ) as connection:
        response = await connection.request('GET', url + '/v1/addresses')
        assert response.status == 200
        stream = response.extensions['network_stream']
        certificate = stream.get_extra_info('ssl_object').getpeercert()
        return certificate['serialNumber']


async def test_renewed_certificate_serves_new_connections(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tls, 'CHECK_INTERVAL_S', 0.01)
    authority = trustme.CA()
    chain, key = _write(authority, tmp_path, 1)
    files = {'tls_certificate': chain, 'tls_key': key}
    async with entry.running_host(callers=files) as fixture:
        url = fixture.url.replace('http:', 'https:')
        first = await _serial(url, authority)
        _write(authority, tmp_path, 2)
        with trio.fail_after(10):
            while await _serial(url, authority) == first:
                await trio.sleep(0.01)


async def test_client_requires_a_trusted_certificate(
    tmp_path: pathlib.Path, nursery: trio.Nursery
) -> None:
    authority = trustme.CA()
    chain, key = _write(authority, tmp_path, 1)
    files = {'tls_certificate': chain, 'tls_key': key}
    _, backend = await engines.start(nursery, 'e1', engines.serves)
    trusted = ssl.create_default_context()
    authority.configure_trust(trusted)
    outcomes = []
    async with entry.running_host(backend, callers=files) as fixture:
        port = fixture.sockets.caller_port
        seeds = [corianderloft.Address('127.0.0.1', port)]
        for context in (trusted, ssl.create_default_context()):
            cfg = corianderloft.ClientSettings(tls=context)
            async with corianderloft.Client(
                seeds, entry.KEYS['stables'], cfg
            ) as client:
                body = {'messages': entry.BODY['messages']}
                outcomes.append(await client.chat('desk', 'quick', body))
    assert isinstance(outcomes[0], corianderloft.ChatAnswer)
    assert outcomes[0].tokens == engines.TOKENS
    assert isinstance(outcomes[1], corianderloft.Unreachable)
    assert outcomes[1].run == 'not_run'


def test_invalid_files_keep_the_old_certificate(
    tmp_path: pathlib.Path,
) -> None:
    chain, key = _write(trustme.CA(), tmp_path, 1)
    certificate = tls.Certificate(chain, key)
    pathlib.Path(chain).write_text('broken')
    assert certificate.reload() is False
    _write(trustme.CA(), tmp_path, 3)
    assert certificate.reload() is True
