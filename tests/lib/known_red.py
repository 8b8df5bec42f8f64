"""Reads KNOWN-RED.txt, the list of tests with known failures."""

import pathlib

PATH = pathlib.Path(__file__).parents[2] / 'KNOWN-RED.txt'


def test_ids() -> tuple[str, ...]:
    """Return the ids of the listed tests, as pytest prints them."""
    lines = PATH.read_text().splitlines()
    entries = (line for line in lines if line and not line.startswith('#'))
    return tuple(entry.split(' | ')[0] for entry in entries)
