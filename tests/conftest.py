"""Fixtures, Hypothesis profiles and known failures of all tests."""

import collections.abc
import logging

import hypothesis
import pytest

from tests.lib import known_red

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    'fuzz', deadline=None, database=None, max_examples=2000
)
hypothesis.settings.load_profile('ci')


@pytest.fixture(autouse=True)
def _restored_log() -> collections.abc.Iterator[None]:
    """Restore the logger that commands configure for their process."""
    logger = logging.getLogger('corianderloft')
    kept = (logger.handlers, logger.level, logger.propagate)
    yield
    logger.handlers, logger.level, logger.propagate = kept


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of KNOWN-RED.txt as expected failures."""
    listed = known_red.test_ids()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=False)
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the tests that are listed as known failures."""
    for test_id in known_red.test_ids():
        terminalreporter.write_line(f'known red: {test_id}')
