"""One accepted job with many tasks stops all jobs of its service for good."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from cluster import route, run_case  # noqa: E402

TASKS = 10_000
WATCH_S = 20.0
LIMIT_S = 3.0  # for this long a job may have nothing running although there is room
LARGE = "d000000000000000"


async def scenario(cluster, trouble):
    starts = {}

    def on_start(worker, task, run):
        starts.setdefault(task.split(".")[0], []).append(task)

    cluster.publish([route("r-1", "/grade/", "desk")], [("desk", False)])
    for number in range(4):
        worker = await cluster.add_worker(f"i-7f3a91c{number}", "desk", lambda task: 0.3)
        worker.needs = lambda task: (1, 1) if task.startswith(LARGE) else (500, 256)
        worker.on_start = on_start
    await cluster.start_nodes()
    await asyncio.sleep(2)
    body = {"spec": "lot", "steps": [{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 300}]}
    status, _ = await cluster.client("POST", "/grade/d100000000000000", body)
    await asyncio.sleep(2)
    before = await cluster.client("GET", "/grade/d100000000000000")
    if status != 200 or before[1] != {"state": "completed"}:
        raise RuntimeError("the job before the large one was not done")

    accepted = []
    if trouble:
        large = {"spec": "lot", "steps": [{"count": TASKS, "cpu": 1, "memMb": 1, "estimateMs": 300}]}
        status, _ = await cluster.client("POST", "/grade/" + LARGE, large, node=1)
        if status != 200:
            cluster.record.write("the large job was not accepted")
            return False
        accepted.append(LARGE)
    await asyncio.sleep(1)
    for number in range(1, 7):
        job = f"d2{number:014x}"
        status, _ = await cluster.client("POST", "/grade/" + job, body, node=number)
        if status == 200:
            accepted.append(job)
        await asyncio.sleep(0.2)
    loop = asyncio.get_running_loop()
    start = loop.time()
    waits = dict.fromkeys(accepted, 0.0)
    while loop.time() - start < WATCH_S:
        await asyncio.sleep(0.5)
        for job in accepted:
            if job not in starts:
                waits[job] = loop.time() - start
    broken = False
    for number, job in enumerate(accepted):
        await cluster.client("GET", "/grade/" + job, node=number)
        if waits[job] > LIMIT_S:
            broken = True
            cluster.record.write(f"RULE: {job} was accepted and has had nothing running for {waits[job]:.1f} s, "
                                 "while all workers were idle")
    cluster.record.write(f"appends refused because a record was too long: {cluster.store.too_large}")
    for node in cluster.nodes:
        lines = node.log_lines("journal_lost")
        cluster.record.write(f"{node.name}: {len(lines)} lines 'journal_lost'; {lines[:2]}")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, scenario, node_count=2))
