"""Line pictures as SVG, for the docs: a few series over one axis, no library."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

WIDTH, HEIGHT, LEFT, TOP, RIGHT, BOTTOM = 640, 360, 70, 40, 150, 50
COLOURS = ("#1f6f8b", "#c0392b", "#5d8a3a", "#8e5ea2", "#b8860b")


def lines(
    title: str, x_name: str, y_name: str, xs: Sequence[float], series: Mapping[str, Sequence[float]]
) -> str:
    """One SVG text with a line for each of `series`, all over the same `xs`."""
    wide, high = WIDTH - LEFT - RIGHT, HEIGHT - TOP - BOTTOM
    x_most, y_most = max(xs), max(max(ys) for ys in series.values()) * 1.05 or 1.0

    def at(x: float, y: float) -> str:
        return f"{LEFT + wide * x / x_most:.1f},{TOP + high * (1 - y / y_most):.1f}"

    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" font-family="sans-serif" '
        'font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{LEFT}" y="22" font-size="14">{title}</text>',
        f'<text x="{LEFT + wide / 2}" y="{HEIGHT - 12}" text-anchor="middle">{x_name}</text>',
        f'<text x="16" y="{TOP + high / 2}" transform="rotate(-90 16 {TOP + high / 2})" '
        f'text-anchor="middle">{y_name}</text>',
    ]
    for i in range(5):
        y = y_most * i / 4
        x0, y0 = at(0, y).split(",")
        parts.append(f'<line x1="{x0}" y1="{y0}" x2="{LEFT + wide}" y2="{y0}" stroke="#ddd"/>')
        parts.append(f'<text x="{LEFT - 6}" y="{float(y0) + 4}" text-anchor="end">{y:.0f}</text>')
    for x in xs:
        x0, y0 = at(x, 0).split(",")
        parts.append(f'<text x="{x0}" y="{float(y0) + 16}" text-anchor="middle">{x:g}</text>')
    for i, (name, ys) in enumerate(series.items()):
        colour = COLOURS[i % len(COLOURS)]
        points = " ".join(at(x, y) for x, y in zip(xs, ys, strict=True))
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="2"/>')
        parts.append(f'<text x="{LEFT + wide + 8}" y="{TOP + 14 + 18 * i}" fill="{colour}">{name}</text>')
    return "\n".join([*parts, "</svg>", ""])
