"""Tests of loading and validating settings files."""

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


def _load_errors(tmp_path: pathlib.Path, text: str) -> str:
    loaded = _load(tmp_path, text)
    assert isinstance(loaded, load.SettingsErrors)
    assert 'settings.yaml' in str(loaded)
    return str(loaded)


def test_missing_keys_get_defaults(tmp_path: pathlib.Path) -> None:
    loaded = _load(tmp_path, 'host: {host_id: host-1}')
    assert isinstance(loaded, root.Settings)
    assert loaded.host.host_id == 'host-1'
    assert loaded.callers.port == 0


def test_unknown_key_suggests_the_closest(tmp_path: pathlib.Path) -> None:
    text = 'host: {host_id: host-1, adress: 127.0.0.1}'
    errors = _load_errors(tmp_path, text)
    assert "host.adress: unknown key" in errors
    assert "did you mean 'address'?" in errors


def test_all_errors_are_listed_with_allowed_values(
    tmp_path: pathlib.Path,
) -> None:
    errors = _load_errors(
        tmp_path, 'callers: {port: 70000}\nkv: {client: [1]}'
    )
    assert 'callers.port' in errors
    assert 'at least 0, at most 65535' in errors
    assert 'kv.client' in errors
    assert 'host: field required' in errors


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
def test_invalid_endpoints_and_host_values_are_errors(
    tmp_path: pathlib.Path, text: str
) -> None:
    key = text.partition(':')[0]
    assert f'settings.yaml: {key}' in _load_errors(tmp_path, text)


def test_missing_file_is_reported_without_exception(
    tmp_path: pathlib.Path,
) -> None:
    loaded = load.load_settings(tmp_path / 'absent.yaml')
    assert isinstance(loaded, load.SettingsErrors)
    assert 'absent.yaml: cannot be read' in str(loaded)


def test_duplicate_key_is_an_error(tmp_path: pathlib.Path) -> None:
    text = 'host: {host_id: a}\ncallers: {port: 1}\ncallers: {port: 2}'
    assert 'callers: is written twice, again in line 3' in _load_errors(
        tmp_path, text
    )


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(text=strategies.text(max_size=60))
def test_any_text_gives_settings_or_errors(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / 'settings.yaml'
    path.write_text(text, encoding='utf-8', errors='surrogatepass')
    loaded = load.load_settings(path)
    assert isinstance(loaded, root.Settings | load.SettingsErrors)
