"""Accepted jobs run a second time, beside the first, once a route of the same prefix leads to another service."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from cluster import route, run_case  # noqa: E402

VISIBLE_S = 3.0  # `visible_ms`
APPLY_S = 2.0  # `configApplyMs`
TASK_S = 14.0


async def scenario(cluster, trouble):
    at_work = {}
    twice = []

    def on_start(worker, task, run):
        if at_work.get(task):
            twice.append(task)
            cluster.record.write(f"RULE: {task} run {run} starts on {worker.id} of {worker.service} while a run is "
                                 f"at work on {at_work[task]}")
        at_work.setdefault(task, []).append(worker.id)

    def on_end(worker, task, run, how):
        at_work[task].remove(worker.id)

    services = [("desk-a", False), ("desk-b", False)]
    cluster.publish([route("r-1", "/grade/", "desk-a")], services)
    for service in ("desk-a", "desk-b"):
        for number in range(3):
            worker = await cluster.add_worker(f"i-{service[-1]}{number}", service, lambda task: TASK_S)
            worker.needs = lambda task: (500, 256)
            worker.on_start = on_start
            worker.on_end = on_end
    await cluster.start_nodes()
    await asyncio.sleep(2)
    ids = [f"f{number:015x}" for number in range(6)]
    body = {"spec": "lot", "steps": [{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": int(TASK_S * 1000)}]}
    for number, job in enumerate(ids):
        status, _ = await cluster.client("POST", "/grade/" + job, body, node=number)
        if status != 200:
            raise RuntimeError("not all jobs were accepted")
    await asyncio.sleep(1)
    if trouble:
        cluster.publish([route("r-2", "/grade/", "desk-b")], services)
    else:
        cluster.publish([route("r-1", "/grade/", "desk-a", timeoutMs=2500)], services)
    await asyncio.sleep(max(VISIBLE_S, APPLY_S) + 0.5)

    answers = await asyncio.gather(*(cluster.client("GET", "/grade/" + job, node=number)
                                     for number, job in enumerate(ids)))
    unknown = sum(status == 410 for status, _ in answers)
    # "Occasionally, such a request also arrives seconds after the 2xx response for that ID."
    for number, job in enumerate(ids[:3]):
        await cluster.client("POST", "/grade/" + job, body, node=number + 1)
    await asyncio.sleep(TASK_S)
    await asyncio.gather(*(cluster.client("GET", "/grade/" + job, node=number) for number, job in enumerate(ids)))
    cluster.record.write(f"{unknown} of {len(ids)} accepted jobs that are at work were answered 410; "
                         f"{len(twice)} starts of tasks of which a run was at work")
    return bool(twice)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, scenario, node_count=3))
