#!/usr/bin/env python3
"""Plots the samples of waxwingnotch-load as SVG: per service, requests asked and done per second, and the
99th percentile of the wait of short work, by the time at which the requests were due.

Usage: plot.py SAMPLES.csv OUT.svg
"""
import csv
import sys

BIN_MS = 500
WIDTH, PANEL, LEFT, GAP = 900, 120, 70, 30
COLOURS = {"asked/s": "#888888", "done/s": "#1f77b4", "p99 wait, ms": "#d62728"}


def read(path):
    """Returns rows per service, in order of appearance."""
    services = {}
    with open(path, newline="", encoding="utf-8") as file:
        for at, service, outcome, wait, is_long in csv.reader(file):
            services.setdefault(service, []).append((int(at), outcome, int(wait), is_long == "1"))
    return services


def series(rows, bins):
    """Returns the values per bin of each curve."""
    asked, done, waits = [0] * bins, [0] * bins, [[] for _ in range(bins)]
    for at, outcome, wait, is_long in rows:
        asked[at // BIN_MS] += 1
        if outcome == "done":
            done[at // BIN_MS] += 1
            if not is_long:
                waits[at // BIN_MS].append(wait)
    per_s = 1000 / BIN_MS
    p99 = [sorted(w)[int(0.99 * (len(w) - 1))] if w else 0 for w in waits]
    return {"asked/s": [a * per_s for a in asked], "done/s": [d * per_s for d in done], "p99 wait, ms": p99}


def panel(name, curves, top, bins):
    """Returns the SVG of one service. Rates share one scale, the wait has its own."""
    rate = max(max(curves["asked/s"]), 1)
    wait = max(max(curves["p99 wait, ms"]), 1)
    parts = [f'<text x="{LEFT}" y="{top - 6}">{name}: at most {rate:.0f}/s asked, p99 wait {wait} ms</text>',
             f'<rect x="{LEFT}" y="{top}" width="{WIDTH}" height="{PANEL}" fill="none" stroke="#cccccc"/>']
    for label, values in curves.items():
        most = wait if label.startswith("p99") else rate
        points = " ".join(f"{LEFT + (i + 0.5) * WIDTH / bins:.1f},{top + PANEL * (1 - v / most):.1f}"
                          for i, v in enumerate(values))
        parts.append(f'<polyline points="{points}" fill="none" stroke="{COLOURS[label]}" stroke-width="1.5"/>')
    return parts


def main():
    services = read(sys.argv[1])
    bins = max(row[0] for rows in services.values() for row in rows) // BIN_MS + 1
    parts = []
    for index, (name, rows) in enumerate(sorted(services.items())):
        parts += panel(name, series(rows, bins), 50 + index * (PANEL + GAP), bins)
    height = 70 + len(services) * (PANEL + GAP)
    for index, (label, colour) in enumerate(COLOURS.items()):
        parts.append(f'<text x="{LEFT + index * 160}" y="20" fill="{colour}">{label}</text>')
    parts.append(f'<text x="{LEFT}" y="{height - 20}">0 to {bins * BIN_MS / 1000:.1f} s</text>')
    with open(sys.argv[2], "w", encoding="utf-8") as out:
        out.write(f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH + 2 * LEFT}" height="{height}" '
                  'font-family="sans-serif" font-size="12">\n' + "\n".join(parts) + "\n</svg>\n")


main()
