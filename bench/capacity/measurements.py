"""Recorded measurements, and where they are kept."""

import dataclasses
import pathlib
import typing

import orjson
import pydantic

MEASUREMENTS = pathlib.Path('docs/measurements/slopes.json')
"""Slopes that the pages are worked out from."""

RELAY = pathlib.Path('docs/measurements/relay.json')
"""Table of `make bench-relay`."""

RELAY_STREAMS = 125
RELAY_FIGURES = (
    ('relayed_token', 'us', '125 streams: CPU a relayed token, us'),
    ('open_stream', 'KB', 'memory per open stream, KB'),
    ('idle_process', 'MB', 'memory idle, MB'),
)
"""Name, unit and label of the figures taken from it."""


@dataclasses.dataclass(frozen=True)
class Slope:
    """Cost of one more unit of something.

    Attributes
    ----------
    name : str
        What was measured, for example ``peer_message_decode``.
    unit : str
        Unit of the values, for example ``us``.
    median, low, high : float
        Median and range over the repetitions.
    sizes : tuple of int
        Sizes that were measured.
    by_size : tuple of float
        Median cost a unit at each of ``sizes``.
    repetitions : int
        Repetitions at each size.
    """

    name: str
    unit: str
    median: float
    low: float
    high: float
    sizes: tuple[int, ...]
    by_size: tuple[float, ...]
    repetitions: int

    def at(self, size: int) -> float:
        """Return the median cost at a size that was measured."""
        return self.by_size[self.sizes.index(size)]


@dataclasses.dataclass(frozen=True)
class Recorded:
    """One run of the microbenchmarks."""

    command: str
    date: str
    machine: str
    slopes: tuple[Slope, ...]

    def slope(self, name: str) -> Slope:
        """Return the slope called ``name``.

        Raises
        ------
        KeyError
            If it was not recorded: the page cannot be worked out.
        """
        found = next((s for s in self.slopes if s.name == name), None)
        if found is None:
            raise KeyError(f'slope {name!r} is not recorded; run make slopes')
        return found


_ADAPTER = pydantic.TypeAdapter(Recorded)


def load(
    path: pathlib.Path = MEASUREMENTS, relay: pathlib.Path = RELAY
) -> Recorded:
    """Read recorded slopes, those of the relay's bench included."""
    recorded = _ADAPTER.validate_json(path.read_bytes())
    table = dict(load_table(relay))
    slopes = tuple(
        _relay_slope(name, unit, float(table[figure]))
        for name, unit, figure in RELAY_FIGURES
    )
    return dataclasses.replace(recorded, slopes=recorded.slopes + slopes)


def _relay_slope(name: str, unit: str, value: float) -> Slope:
    return Slope(
        name, unit, value, value, value, (RELAY_STREAMS,), (value,), 1
    )


def save_table(
    headers: tuple[str, ...],
    rows: list[list[typing.Any]],
    path: pathlib.Path,
) -> None:
    """Write the table of a bench as JSON, one object a row."""
    named = [dict(zip(headers, row, strict=True)) for row in rows]
    path.write_bytes(orjson.dumps(named, option=orjson.OPT_INDENT_2) + b'\n')


def load_table(path: pathlib.Path) -> list[tuple[str, typing.Any]]:
    """Read the figures of the host from such a table."""
    rows = orjson.loads(path.read_bytes())
    return [(row['figure'], row['host']) for row in rows]


def save(recorded: Recorded, path: pathlib.Path = MEASUREMENTS) -> None:
    """Write recorded slopes, one value a line."""
    data = _ADAPTER.dump_python(recorded, mode='json')
    path.write_bytes(orjson.dumps(data, option=orjson.OPT_INDENT_2) + b'\n')
