"""Frame of the cases 6 to 10: starts the platform's stand-ins and real nodes, runs a scenario, ends all processes.

Exit code 0: the rule held; 1: the rule was broken; 2: the case could not run. TROUBLE=0 leaves the disruption out.
"""
import asyncio
import os
import shutil
import sys
import tempfile
import traceback

sys.dont_write_bytecode = True
REVIEW = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(os.path.dirname(REVIEW), "tests", "standin"))
os.environ["BUILD_DIR"] = "target"  # where the build of the deploy file leaves the program

import cluster as project  # noqa: E402
from users_platform import Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110


class Broken(Exception):
    """The rule was broken."""


async def play(scenario, folder, record, node_count):
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # connections cut by the end
    cluster = project.Cluster(folder, record, node_count)
    try:
        await cluster.start_platform()
        await asyncio.wait_for(scenario(cluster), LIMIT_S)
    finally:
        for node in cluster.nodes:
            if node.process:
                node.kill()
        if cluster.store.http.server and cluster.hosts.http.server:
            await cluster.close_servers()


def copy_logs(folder, record, events):
    """Adds the log lines that explain the outcome to the record."""
    for name in sorted(os.listdir(folder)):
        if not name.endswith(".log"):
            continue
        with open(os.path.join(folder, name), encoding="utf-8", errors="replace") as log:
            lines = [line.rstrip() for line in log if any(f'"event":"{event}"' in line for event in events)]
        for line in lines[:12]:
            record.write(f"log of {name[:-4]}: {line[:400]}")
        record.write(f"log of {name[:-4]}: {len(lines)} lines of {', '.join(events)}")


def main(scenario, place, node_count=3, events=()):
    record = Record(os.path.join(place, "record.txt"))
    record.write(f"disruption: {'yes' if TROUBLE else 'no'}")
    folder = tempfile.mkdtemp(prefix="waxwingnotch-case-")
    status = 2
    try:
        if not os.path.exists(project.PROGRAM):
            raise FileNotFoundError("target/waxwingnotch has not been built")
        asyncio.run(play(scenario, folder, record, node_count))
        status = 0
        verdict = "held"
    except Broken as broken:
        status = 1
        verdict = f"BROKEN: {broken}"
    except Exception:
        verdict = "the case could not run:\n" + traceback.format_exc()
    copy_logs(folder, record, events)
    record.write(verdict)
    print(verdict)
    shutil.rmtree(folder, ignore_errors=True)
    return status
