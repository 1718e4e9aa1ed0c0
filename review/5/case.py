"""Tasks that last, in a queue with `advice`, stay away for good once the workers that may run them were replaced."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from cluster import route, run_case  # noqa: E402
from users_platform import PolicyService  # noqa: E402

VALIDITY_MS = 5000
DRAIN_S = 3.5  # `drainMs` and a little longer
WATCH_S = 20.0
# Those of the site farsa-kano-grown that differ.
BOUNDS = {"contactMs": 4000, "ackMs": 6000, "catchUpS": 6, "drainMs": 3000, "configApplyMs": 3000, "maxStretchMs": 6000,
          "recoveryS": 15, "gangMs": 4000, "cancel_ms": 4000, "noticeMs": 5500, "violationMs": 4500}
LIMIT_S = 6.0 + 4.0 + 3.0  # from 6 s after the last run, the 3 s and the 4 s before them calm
JOB = "c000000000000001"


async def scenario(cluster, trouble):
    # The answer also carries the time of validity, as the node looks for it there; see case 4.
    def allows(worker):
        return worker in ("i-old0", "i-old1") or worker.startswith("i-new")

    policy = PolicyService(cluster.record, allows, {"validityMs": VALIDITY_MS})
    cluster.advice_address = await policy.http.listen("127.0.0.1")

    async def add(name):
        worker = await cluster.add_worker(name, "desk", lambda task: None)
        worker.needs = lambda task: (1000, 1024)
        worker.ticket_of = lambda task: f"t-{task.rsplit('.', 1)[0]}-{worker.id}"
        return worker

    cluster.publish([route("r-1", "/audit/", "desk", advice={
        "decisionMs": 10, "periodMs": 1, "validityMs": VALIDITY_MS})], [("desk", False)])
    old = [await add(f"i-old{number}") for number in range(5)]
    await cluster.start_nodes()
    await asyncio.sleep(2)
    body = {"spec": "audit", "steps": [{"count": 2, "cpu": 1000, "memMb": 1024, "longRunning": True,
                                        "maxPerServer": 1, "missAllowed": 1}]}
    status, _ = await cluster.client("POST", "/audit/" + JOB, body)
    await asyncio.sleep(2)
    running = sum(len(worker.running) for worker in cluster.workers)
    cluster.record.write(f"{running} tasks of the job are at work")
    if status != 200 or running != 2:
        raise RuntimeError("the job did not start")

    if trouble:
        cluster.record.write("two of the five workers of the service are replaced one after the other")
        for number, worker in enumerate(old[:2]):
            await add(f"i-new{number}")
            await asyncio.sleep(1)
            worker.state = "draining"
            worker.register()
            cluster.record.write(f"worker {worker.id} reports that it is draining")
            await asyncio.sleep(DRAIN_S)
            await worker.leave()
            cluster.workers.remove(worker)
            cluster.record.write(f"worker {worker.id} has left")
            await asyncio.sleep(1)

    loop = asyncio.get_running_loop()
    start = loop.time()
    last = start
    longest = 0.0
    while loop.time() - start < WATCH_S:
        await asyncio.sleep(0.1)
        running = {task for worker in cluster.workers for task in worker.running}
        if len(running) == 2:
            last = loop.time()
        longest = max(longest, loop.time() - last)
    await cluster.client("GET", "/audit/" + JOB)
    broken = longest > LIMIT_S
    cluster.record.write(f"longest time with a task of the job away, after the last replacement: {longest:.1f} s; "
                         f"workers: {[worker.id for worker in cluster.workers]}, idle but for this job")
    if broken:
        cluster.record.write(f"RULE: a task that lasts has not been started for {longest:.1f} s, though its turn "
                             "has come and the policy allows both new workers, which are idle")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, scenario, node_count=2, bounds=BOUNDS))
