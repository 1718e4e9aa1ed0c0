"""A job is shown as failed because the workers that ran its task were cut off, though none has crashed."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from cluster import route, run_case  # noqa: E402

CUT_S = 5.5
TASK_S = 3.0
JOB = "e000000000000001"


async def scenario(cluster, trouble):
    ends = []

    def on_end(worker, task, run, how):
        ends.append(how)

    cluster.publish([route("r-1", "/grade/", "desk", maxAttempts=4)], [("desk", False)])
    for number in range(12):
        worker = await cluster.add_worker(f"i-desk{number}", "desk", lambda task: TASK_S)
        worker.needs = lambda task: (1000, 1024)
        worker.on_end = on_end
    await cluster.start_nodes()
    await asyncio.sleep(2)
    body = {"spec": "lot", "steps": [{"count": 1, "cpu": 1000, "memMb": 1024, "estimateMs": 3000}]}
    status, _ = await cluster.client("POST", "/grade/" + JOB, body)
    if status != 200:
        raise RuntimeError("the job was not accepted")

    cut = []
    loop = asyncio.get_running_loop()
    start = loop.time()
    state = None
    while loop.time() - start < 40:
        await asyncio.sleep(0.1)
        for worker in cluster.workers:
            if trouble and len(cut) < 2 and worker.running and worker not in cut:
                await asyncio.sleep(0.4)
                cut.append(worker)
                cluster.record.write(f"worker {worker.id} is cut off for {CUT_S} s, connections are reset; it runs on")
                await worker.cut(CUT_S)
        _, answer = await cluster.client("GET", "/grade/" + JOB, quiet=True)
        if answer and answer.get("state") != state:
            state = answer.get("state")
            cluster.record.write(f"client: GET of the job -> {state}")
        if state in ("completed", "failed") and loop.time() - start > 20:
            break
    await cluster.client("GET", "/grade/" + JOB, node=1)
    for node in cluster.nodes:
        for line in node.log_lines("crash_suspect", "job_failed"):
            cluster.record.write(f"log: {line}")
    cluster.record.write(f"ends of the task: {ends}; no worker has crashed")
    broken = state == "failed" and "failed" not in ends
    if broken:
        cluster.record.write(f"RULE: {JOB} is shown as failed, and its task has never ended failed")
    if not broken and state != "completed":
        raise RuntimeError(f"the job is {state}")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, scenario, node_count=2))
