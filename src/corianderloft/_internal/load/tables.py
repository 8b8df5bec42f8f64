"""Formats a load report as tables."""

import typing

import tabulate

from corianderloft._internal.load import runner

Row = dict[str, typing.Any]


def class_rows(report: runner.LoadReport) -> list[Row]:
    """Return one row per class; latencies are in milliseconds."""
    return [_class_row(item) for item in report.classes]


def _class_row(item: dict[str, typing.Any]) -> Row:
    ended = item['outcomes']
    return {
        'class': item['name'],
        'scheduled': item['scheduled'],
        'attainment': item['attainment'],
        'first token p50': _milliseconds(item['first_token_s'], '50'),
        'first token p99': _milliseconds(item['first_token_s'], '99'),
        'gap p95': _milliseconds(item['token_gap_s'], '95'),
        'goodput tokens/s': item['goodput_tokens_per_s'],
        'complete': ended.get('complete', 0),
        'refused': ended.get('refused', 0),
        'cut': ended.get('cut', 0),
        'wrong': ended.get('wrong', 0),
        'timeout': ended.get('timeout', 0),
        'other': ended.get('unreachable', 0) + ended.get('not_sent', 0),
    }


def refusal_rows(report: runner.LoadReport) -> list[Row]:
    """Return one row per class and reason of refusal."""
    return [
        {'class': item['name']} | refusal
        for item in report.classes
        for refusal in item['refusals']
    ]


def text(report: runner.LoadReport) -> str:
    """Return the report as tables."""
    parts = [
        tabulate.tabulate(class_rows(report), headers='keys', floatfmt='.3f'),
        tabulate.tabulate(refusal_rows(report), headers='keys'),
    ]
    parts += [
        f'{name}: {report.payload[name]}'
        for name in ('waste', 'bookings')
        if report.payload[name] is not None
    ]
    return '\n\n'.join(part for part in parts if part)


def _milliseconds(
    latency: dict[str, typing.Any], percentile: str
) -> float | None:
    seconds = latency['percentiles'][percentile]
    return None if seconds is None else seconds * 1000
