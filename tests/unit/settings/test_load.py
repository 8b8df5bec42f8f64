"""Tests of loading settings."""

import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from corianderloft._internal.settings import load
from corianderloft._internal.settings import root


def _load(
    tmp_path: pathlib.Path, text: str
) -> root.Settings | load.SettingsErrors:
    path = tmp_path / 'settings.yaml'
    path.write_text(text)
    return load.load_settings(path)


def _mistakes(tmp_path: pathlib.Path, text: str) -> str:
    loaded = _load(tmp_path, text)
    assert isinstance(loaded, load.SettingsErrors)
    assert 'settings.yaml' in str(loaded)
    return str(loaded)


def test_defaults_fill_what_is_not_written(tmp_path: pathlib.Path) -> None:
    loaded = _load(tmp_path, 'host: {host_id: host-1}')
    assert isinstance(loaded, root.Settings)
    assert loaded.host.host_id == 'host-1'
    assert loaded.callers.port == 0


def test_unknown_key_names_the_nearest(tmp_path: pathlib.Path) -> None:
    text = 'host: {host_id: host-1, adress: 127.0.0.1}'
    found = _mistakes(tmp_path, text)
    assert "host.adress: unknown key" in found
    assert "did you mean 'address'?" in found


def test_every_mistake_is_listed_with_what_is_allowed(
    tmp_path: pathlib.Path,
) -> None:
    found = _mistakes(tmp_path, 'callers: {port: 70000}\nkv: {client: [1]}')
    assert 'callers.port' in found
    assert 'at least 0, at most 65535' in found
    assert 'kv.client' in found
    assert 'host: field required' in found


@pytest.mark.parametrize(
    'text',
    [
        'kv: {endpoint: "http://[::1"}',
        'kv: {endpoint: "127.0.0.1:2379"}',
        'kv: {endpoint: "http://127.0.0.1"}',
        'host: {host_id: h, address: entry.example}',
        'host: {host_id: ""}',
    ],
)
def test_addresses_are_checked(tmp_path: pathlib.Path, text: str) -> None:
    key = text.partition(':')[0]
    assert f'settings.yaml: {key}' in _mistakes(tmp_path, text)


def test_missing_file_is_a_mistake_not_an_exception(
    tmp_path: pathlib.Path,
) -> None:
    loaded = load.load_settings(tmp_path / 'absent.yaml')
    assert isinstance(loaded, load.SettingsErrors)
    assert 'absent.yaml: cannot be read' in str(loaded)


def test_key_written_twice_is_a_mistake(tmp_path: pathlib.Path) -> None:
    text = 'host: {host_id: a}\ncallers: {port: 1}\ncallers: {port: 2}'
    assert 'callers: is written twice, again in line 3' in _mistakes(
        tmp_path, text
    )


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(text=strategies.text(max_size=60))
def test_any_text_gives_settings_or_mistakes(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / 'settings.yaml'
    path.write_text(text, encoding='utf-8', errors='surrogatepass')
    loaded = load.load_settings(path)
    assert isinstance(loaded, root.Settings | load.SettingsErrors)
