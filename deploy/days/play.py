#!/usr/bin/env python3
"""Plays a day for each trouble of kinds.txt: alone, twice, beside a cut of a data centre, beside a store outage.

    deploy/days/play.py BENCH SITE [--jobs N] [--only TEXT]
    deploy/days/play.py BENCH SITE --mixes FIRST LAST [--changes N] [--jobs N]

Prints a row a day: worth, and the rules that it broke. The traffic is that of the site's first day. A mix has five troubles of kinds.txt one
on another, drawn by its seed; with --changes, that many changes of the configuration besides, which five kinds out of all rarely are.
"""

import argparse
import concurrent.futures
import pathlib
import random
import re
import subprocess
import tempfile
import zlib

HERE = pathlib.Path(__file__).parent
ZONE_CUT = '{ at = 12.0, kind = "zone_cut", for_s = 5.5, how = "drop" }'
OUTAGE = '{ at = 11.0, kind = "platform_down", for_s = 4.0, how = "silent" }'
# Troubles of a mix, and between which seconds they begin.
MIXED = 5
MIX_TIMES = (3.0, 24.0)
CHANGES = [f'kind = "config_change", how = "{how}"' for how in ("route", "weights", "timeout", "quota")]
# Kinds that belong to a day's plan; all others are faults.
PLANNED = {
    "release", "scale_in", "scale_out", "add_nodes", "roll_term", "hup", "config_change", "config_storm", "big_config",
}


def traffic(site):
    """The traffic of the first day in a site file, as text."""
    return re.search(r"^traffic = \[.*?^\]", site, re.M | re.S).group(0)


def variants(trouble):
    """The entries of each day for one trouble."""
    def at(second):
        return f"{{ at = {second}, {trouble} }}"

    yield "alone", [at(9.0)]
    yield "twice", [at(7.0), at(15.0)]
    yield "cut", [at(10.0), ZONE_CUT]
    yield "outage", [at(10.0), OUTAGE]


def day(name, entries, site):
    """A day's file."""
    planned = [entry for entry in entries if re.search(r'kind = "(\w+)"', entry).group(1) in PLANNED]
    faults = [entry for entry in entries if entry not in planned]
    return (
        f'name = "{name}"\nslot = "trouble"\nseed = {zlib.crc32(name.encode())}\nlabels = []\n'
        "one = 1.0\nzero = 0.0\ngoal = { floor = 0.0 }\n"
        f"plan = {array(planned)}\nfaults = {array(faults)}\n{traffic(site)}\n"
    )


def array(entries):
    """A TOML array, an entry a line."""
    return "[\n" + "".join(f"  {entry},\n" for entry in entries) + "]"


def mixes(troubles, seeds, changes, site):
    """Name and file of a day for each seed, with troubles and changes of the configuration at times of its own."""
    for seed in seeds:
        draw = random.Random(seed)
        kinds = draw.sample(troubles, MIXED)
        kinds += [draw.choice(CHANGES) for _ in range(changes)]
        drawn = sorted((round(draw.uniform(*MIX_TIMES), 1), trouble) for trouble in kinds)
        entries = [f"{{ at = {second}, {trouble} }}" for second, trouble in drawn]
        yield f"mix {seed}", day(f"own-mix-{seed}", entries, site)


def plays(trouble, site):
    """Name and file of each day for one trouble. The seed goes by the trouble, so that it plays alike on its own."""
    label = re.sub(r'kind = |"', "", trouble)
    for name, entries in variants(trouble):
        yield f"{label} / {name}", day(f"own-{zlib.crc32(label.encode())}-{name}", entries, site)


def play(bench, site, name, text):
    """Plays one day. Its row."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        command = [bench, "run", str(site), file.name, "--no-cpu", "--why", f"own day: {name}"]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
    row = re.search(r"^\S+\s+\d+/\d+\s+\S+\s+(\S+).*$", done.stdout, re.M)
    broken = re.findall(r"BROKEN: (.*?) \(else|BROKEN: (.*)$", done.stdout, re.M)
    first = re.search(r"^(?:LOST|TWICE|LIMIT|CONFIG|[A-Z]{4,}) at .*$", done.stdout, re.M)
    if "is not open" in done.stderr + done.stdout:
        return f"{name:90} not open on this site"
    if not row:
        return f"{name:90} not played: {(done.stdout + done.stderr).strip()[-160:]}"
    says = "; ".join(filter(None, sum(broken, ()))) + (f"  {first.group(0)[:150]}" if first and broken else "")
    return f"{name:90} {row.group(1)}  {says or '-'}"


def main():
    """Plays all days and prints their rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    parser.add_argument("--mixes", nargs=2, type=int, metavar=("FIRST", "LAST"))
    parser.add_argument("--changes", type=int, default=0, help="changes of the configuration a mix")
    options = parser.parse_args()
    site = options.site.read_text()
    troubles = [line for line in (HERE / "kinds.txt").read_text().splitlines() if line.startswith("kind")]
    troubles = [trouble for trouble in troubles if options.only in trouble]
    if options.mixes:
        first, last = options.mixes
        days = list(mixes(troubles, range(first, last + 1), options.changes, site))
    else:
        days = [play for trouble in troubles for play in plays(trouble, site)]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for row in pool.map(lambda item: play(options.bench, options.site, *item), days):
            print(row, flush=True)


if __name__ == "__main__":
    main()
