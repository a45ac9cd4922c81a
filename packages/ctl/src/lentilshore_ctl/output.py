"""Printing of results: tables for people, JSON for programs."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any

import msgspec

CELL_LIMIT_CHARACTERS = 60


class OutputFormat(StrEnum):
    """Format in which results are printed."""

    TABLE = "table"
    JSON = "json"


def print_rows(
    rows: Sequence[Mapping[str, Any]], columns: Sequence[str], output: OutputFormat
) -> None:
    """Print rows.

    :param rows: values by column.
    :param columns: columns of the table, in order; JSON output has every value.
    :param output: format of the output.
    """
    if output is OutputFormat.JSON:
        print_json(list(rows))
        return
    cells = [[_format_cell(row.get(column, "")) for column in columns] for row in rows]
    widths = [
        max(len(text) for text in (column, *(line[index] for line in cells)))
        for index, column in enumerate(columns)
    ]
    for line in ([column.upper() for column in columns], *cells):
        padded = (text.ljust(width) for text, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_fields(record: Mapping[str, Any], output: OutputFormat) -> None:
    """Print one record, with one or more lines for each field."""
    if output is OutputFormat.JSON:
        print_json(record)
        return
    width = max((len(name) for name in record), default=0)
    for name, value in record.items():
        for index, line in enumerate(_format_lines(value)):
            label = name if index == 0 else ""
            print(f"{label.ljust(width)}  {line}".rstrip())


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def _format_lines(value: Any) -> list[str]:
    if isinstance(value, list):
        return [_format_cell(item) for item in value] or ["-"]
    if isinstance(value, dict):
        return [f"{key}={_format_cell(item)}" for key, item in value.items()] or ["-"]
    return [_format_cell(value)]


def _format_cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, list):
        return ",".join(_format_cell(item) for item in value)
    if isinstance(value, dict):
        return " ".join(f"{key}={_format_cell(item)}" for key, item in value.items())
    text = str(value)
    return text if len(text) <= CELL_LIMIT_CHARACTERS else text[:57] + "..."
