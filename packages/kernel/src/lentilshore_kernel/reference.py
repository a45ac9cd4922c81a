"""Reference pages generated from the types, so that pages and code cannot differ."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import Any, get_args

from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from .exceptions import STATUS_BY_REASON
from .metrics import refusal_counter, retry_counter
from .served_metrics import render_metrics_reference
from .settings import Settings
from .types import RefusalReason, RetryReason


def render_settings() -> str:
    """Return the page of settings as Markdown."""
    lines = ["# Settings", "", "| setting | default | meaning |", "|---|---|---|"]
    lines += [
        f"| `{name}` | {default} | {meaning} |"
        for name, default, meaning in _setting_rows(Settings, "")
    ]
    return "\n".join(lines) + "\n"


def render_reasons() -> str:
    """Return the page of refusal and retry reasons as Markdown."""
    lines = ["# Reasons", "", "| refusal | status | counter |", "|---|---|---|"]
    lines += [
        f"| `{reason.value}` | {STATUS_BY_REASON[reason]} | "
        f"`lentilshore.{refusal_counter(reason)}` |"
        for reason in RefusalReason
    ]
    lines += ["", "| retry | counter |", "|---|---|"]
    lines += [
        f"| `{reason.value}` | `lentilshore.{retry_counter(reason)}` |"
        for reason in RetryReason
    ]
    return "\n".join(lines) + "\n"


def _setting_rows(
    model: type[BaseModel], prefix: str
) -> Iterator[tuple[str, str, str]]:
    for name, field in model.model_fields.items():
        section = _nested_section(field)
        yield f"{prefix}{name}", _format_default(field), field.description or ""
        if section is not None:
            yield from _setting_rows(section, f"{prefix}{name}.")


def _nested_section(field: FieldInfo) -> type[BaseModel] | None:
    # The arguments of a union or list type are searched too.
    types: list[Any] = [field.annotation, *get_args(field.annotation)]
    sections = [t for t in types if isinstance(t, type) and issubclass(t, BaseModel)]
    return sections[0] if sections else None


def _format_default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return "required"
    if isinstance(field.default, BaseModel):
        return "as below"
    return "none" if field.default in (None, []) else f"`{field.default}`"


if __name__ == "__main__":
    pages = {
        "settings": render_settings,
        "reasons": render_reasons,
        "metrics": render_metrics_reference,
    }
    sys.stdout.write(pages[sys.argv[1]]())
