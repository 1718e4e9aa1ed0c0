#!/usr/bin/env python3
"""Plots the samples of waxwingnotch-load as SVG. For each service it shows requests sent and done per second and
the 99th percentile of the wait of short work, over the time at which the requests were due.

Usage: plot.py SAMPLES.csv OUT.svg
"""
import csv
import sys

BIN_MS = 500
WIDTH, PANEL, LEFT, GAP = 900, 120, 70, 30
COLOURS = {"asked/s": "#888888", "done/s": "#1f77b4", "p99 wait, ms": "#d62728"}


def read_samples(path):
    """Returns the rows of each service (due ms, outcome, wait ms, is long), in order of appearance."""
    services = {}
    with open(path, newline="", encoding="utf-8") as file:
        for due_ms, service, outcome, wait, is_long in csv.reader(file):
            services.setdefault(service, []).append((int(due_ms), outcome, int(wait), is_long == "1"))
    return services


def make_curves(rows, bins):
    """Returns the values of each curve, one for each bin of BIN_MS."""
    sent, done, waits = [0] * bins, [0] * bins, [[] for _ in range(bins)]
    for due_ms, outcome, wait, is_long in rows:
        sent[due_ms // BIN_MS] += 1
        if outcome == "done":
            done[due_ms // BIN_MS] += 1
            if not is_long:
                waits[due_ms // BIN_MS].append(wait)
    bins_per_s = 1000 / BIN_MS
    p99 = [sorted(w)[int(0.99 * (len(w) - 1))] if w else 0 for w in waits]
    return {"asked/s": [a * bins_per_s for a in sent], "done/s": [d * bins_per_s for d in done], "p99 wait, ms": p99}


def make_panel(name, curves, top, bins):
    """Returns the SVG elements of one service. The rates share a scale; the wait has its own."""
    rate = max(max(curves["asked/s"]), 1)
    wait = max(max(curves["p99 wait, ms"]), 1)
    parts = [f'<text x="{LEFT}" y="{top - 6}">{name}: at most {rate:.0f}/s asked, p99 wait {wait} ms</text>',
             f'<rect x="{LEFT}" y="{top}" width="{WIDTH}" height="{PANEL}" fill="none" stroke="#cccccc"/>']
    for label, values in curves.items():
        scale = wait if label.startswith("p99") else rate
        points = " ".join(f"{LEFT + (i + 0.5) * WIDTH / bins:.1f},{top + PANEL * (1 - v / scale):.1f}"
                          for i, v in enumerate(values))
        parts.append(f'<polyline points="{points}" fill="none" stroke="{COLOURS[label]}" stroke-width="1.5"/>')
    return parts


def main():
    services = read_samples(sys.argv[1])
    bins = max(row[0] for rows in services.values() for row in rows) // BIN_MS + 1
    parts = []
    for index, (name, rows) in enumerate(sorted(services.items())):
        parts += make_panel(name, make_curves(rows, bins), 50 + index * (PANEL + GAP), bins)
    height = 70 + len(services) * (PANEL + GAP)
    for index, (label, colour) in enumerate(COLOURS.items()):
        parts.append(f'<text x="{LEFT + index * 160}" y="20" fill="{colour}">{label}</text>')
    parts.append(f'<text x="{LEFT}" y="{height - 20}">0 to {bins * BIN_MS / 1000:.1f} s</text>')
    with open(sys.argv[2], "w", encoding="utf-8") as out:
        out.write(f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH + 2 * LEFT}" height="{height}" '
                  'font-family="sans-serif" font-size="12">\n' + "\n".join(parts) + "\n</svg>\n")


main()
