"""Plain SVG line plots of benchmark results."""

from __future__ import annotations

import html
from collections.abc import Sequence

import attrs

__all__ = ["Line", "line_plot"]

WIDTH = 640
HEIGHT = 400
MARGIN = 60
COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#555555")
TICKS = 5


@attrs.frozen
class Line:
    """One line of a plot, with its label in the legend."""

    label: str
    points: Sequence[tuple[float, float]]


def line_plot(title: str, x_label: str, y_label: str, lines: Sequence[Line]) -> str:
    """Return an SVG document of lines on linear axes that start at zero."""
    x_end = max((x for line in lines for x, _ in line.points), default=1.0) or 1.0
    y_end = max((y for line in lines for _, y in line.points), default=1.0) or 1.0
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        f'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        _text_element(WIDTH / 2, 20, title, "middle"),
        _text_element(WIDTH / 2, HEIGHT - 12, x_label, "middle"),
        _text_element(8, 40, y_label, "start"),
        *_axis_elements(x_end, y_end),
    ]
    for number, line in enumerate(lines):
        parts.extend(_line_elements(number, line, x_end, y_end))
    parts.append("</svg>")
    return "\n".join(parts) + "\n"


def _x_px(value: float, end: float) -> float:
    return MARGIN + value / end * (WIDTH - 2 * MARGIN)


def _y_px(value: float, end: float) -> float:
    return HEIGHT - MARGIN - value / end * (HEIGHT - 2 * MARGIN)


def _text_element(x: float, y: float, text: str, anchor: str) -> str:
    escaped = html.escape(text)
    return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">{escaped}</text>'


def _axis_elements(x_end: float, y_end: float) -> list[str]:
    left, bottom = _x_px(0, x_end), _y_px(0, y_end)
    parts = [
        f'<path d="M{left} {_y_px(y_end, y_end)} V{bottom} H{_x_px(x_end, x_end)}" '
        'stroke="black" fill="none"/>'
    ]
    for tick in range(TICKS + 1):
        x_value = x_end * tick / TICKS
        y_value = y_end * tick / TICKS
        parts.append(
            _text_element(
                _x_px(x_value, x_end), bottom + 16, f"{x_value:.3g}", "middle"
            )
        )
        parts.append(
            _text_element(left - 6, _y_px(y_value, y_end) + 4, f"{y_value:.3g}", "end")
        )
    return parts


def _line_elements(number: int, line: Line, x_end: float, y_end: float) -> list[str]:
    colour = COLOURS[number % len(COLOURS)]
    pixels = [(_x_px(x, x_end), _y_px(y, y_end)) for x, y in line.points]
    path = " ".join(f"{x:.1f},{y:.1f}" for x, y in pixels)
    parts = [f'<polyline points="{path}" fill="none" stroke="{colour}"/>']
    parts += [
        f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3" fill="{colour}"/>' for x, y in pixels
    ]
    label_y = 40 + 16 * number
    parts.append(
        f'<text x="{WIDTH - MARGIN}" y="{label_y}" text-anchor="end" '
        f'fill="{colour}">{html.escape(line.label)}</text>'
    )
    return parts
