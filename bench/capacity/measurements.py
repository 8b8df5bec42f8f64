"""Recorded measurements and the files they are stored in."""

import dataclasses
import pathlib
import typing

import orjson
import pydantic

MEASUREMENTS = pathlib.Path('docs/measurements/slopes.json')
"""Slopes that the capacity page is computed from."""

RELAY_TABLE = pathlib.Path('docs/measurements/relay.json')
"""Table of results of `make bench-relay`."""

RELAY_STREAMS = 125
RELAY_FIGURES = (
    ('relayed_token', 'us', '125 streams: CPU a relayed token, us'),
    ('open_stream', 'KB', 'memory per open stream, KB'),
    ('idle_process', 'MB', 'memory idle, MB'),
)
"""Name, unit and label of the figures read from the table."""


@dataclasses.dataclass(frozen=True)
class Slope:
    """Marginal cost, that is, the cost per additional item.

    Attributes
    ----------
    name : str
        Name of the benchmark, for example ``peer_message_decode``.
    unit : str
        Unit of the values, for example ``us``.
    median, low, high : float
        Median and range over the repetitions.
    sizes : tuple of int
        Measured sizes.
    by_size : tuple of float
        Median cost per item at each of ``sizes``.
    repetitions : int
        Number of repetitions at each size.
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
        """Return the median cost at a measured size."""
        return self.by_size[self.sizes.index(size)]


@dataclasses.dataclass(frozen=True)
class Recorded:
    """One run of the microbenchmarks."""

    command: str
    date: str
    machine: str
    slopes: tuple[Slope, ...]

    def slope(self, name: str) -> Slope:
        """Return the slope objects ``name``.

        Raises
        ------
        KeyError
            If it was not recorded, so that the page cannot be computed.
        """
        recorded_slope = next((s for s in self.slopes if s.name == name), None)
        if recorded_slope is None:
            raise KeyError(f'slope {name!r} is not recorded; run make slopes')
        return recorded_slope


_RECORDED_ADAPTER = pydantic.TypeAdapter(Recorded)


def load(
    path: pathlib.Path = MEASUREMENTS, relay: pathlib.Path = RELAY_TABLE
) -> Recorded:
    """Read the recorded slopes, including those of the relay benchmark."""
    recorded = _RECORDED_ADAPTER.validate_json(path.read_bytes())
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
    """Write the table of a benchmark as JSON, with one object per row."""
    objects = [dict(zip(headers, row, strict=True)) for row in rows]
    path.write_bytes(orjson.dumps(objects, option=orjson.OPT_INDENT_2) + b'\n')


def load_table(path: pathlib.Path) -> list[tuple[str, typing.Any]]:
    """Read the figures of the host from a table of `save_table`."""
    rows = orjson.loads(path.read_bytes())
    return [(row['figure'], row['host']) for row in rows]


def save(recorded: Recorded, path: pathlib.Path = MEASUREMENTS) -> None:
    """Write the recorded slopes, one value per line."""
    data = _RECORDED_ADAPTER.dump_python(recorded, mode='json')
    path.write_bytes(orjson.dumps(data, option=orjson.OPT_INDENT_2) + b'\n')
