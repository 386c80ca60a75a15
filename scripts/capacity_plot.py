#!/usr/bin/env python3
"""Draws one SVG per figure of measurements.json, with its fitted line.

usage: capacity_plot.py MEASUREMENTS FOLDER
"""

import json
import pathlib
import sys

WIDTH, HEIGHT, LEFT, BOTTOM, TOP, RIGHT = 560, 340, 80, 50, 40, 20
TITLES = {
    "cpu_share_of_core": "Processor, share of a core per node",
    "resident_mb": "Resident memory per node, MB",
    "control_bytes_per_s": "Control traffic per node, bytes a second",
    "store_calls_per_s": "Store calls of the whole fleet, a second",
}


def text(x, y, content, anchor="middle", size=12):
    return (f'<text x="{x:.1f}" y="{y:.1f}" font-size="{size}" '
            f'text-anchor="{anchor}">{content}</text>')


def line(x1, y1, x2, y2, style):
    return (f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}" '
            f'{style}/>')


def plot(title, points, fitted):
    most_x = max(x for x, _ in points)
    most_y = max(max(y for _, y in points), 1e-9) * 1.15

    def place(x, y):
        return (LEFT + x / most_x * (WIDTH - LEFT - RIGHT),
                HEIGHT - BOTTOM - y / most_y * (HEIGHT - TOP - BOTTOM))

    grid = 'stroke="#ccc" stroke-width="1"'
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
             f'height="{HEIGHT}" font-family="sans-serif">',
             '<rect width="100%" height="100%" fill="#fff"/>',
             text(WIDTH / 2, 22, title, size=14),
             text(WIDTH / 2, HEIGHT - 10, "nodes in the fleet")]
    for step in range(6):
        value = most_y * step / 5
        _, y = place(0, value)
        parts.append(line(LEFT, y, WIDTH - RIGHT, y, grid))
        parts.append(text(LEFT - 8, y + 4, f"{value:.3g}", "end"))
    if fitted:
        ends = [place(x, max(0, fitted["at_zero"]
                             + fitted["slope_per_node"] * x))
                for x in (0, most_x)]
        parts.append(line(*ends[0], *ends[1],
                          'stroke="#36c" stroke-width="2"'))
        parts.append(text(WIDTH - RIGHT, TOP - 4,
                          f"slope {fitted['slope_per_node']:.3g} per node",
                          "end"))
    for x, y in points:
        px, py = place(x, y)
        parts.append(f'<circle cx="{px:.1f}" cy="{py:.1f}" r="4" '
                     f'fill="#c33"/>')
        parts.append(text(px, HEIGHT - BOTTOM + 18, x))
    return "\n".join(parts + ["</svg>"]) + "\n"


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    data = json.loads(pathlib.Path(sys.argv[1]).read_text())
    for figure, title in TITLES.items():
        points = [(r["nodes"], r[figure]) for r in data["runs"]
                  if r[figure] is not None]
        if points:
            file = pathlib.Path(sys.argv[2]) / f"{figure}.svg"
            file.write_text(plot(title, points, data["fits"].get(figure)))
            print(file)


if __name__ == "__main__":
    main()
