"""Jobs of a queue whose steps need the permission of the policy service come at once."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standin-2"))
import case  # noqa: E402
from cluster import route  # noqa: E402
from policy import SlowPolicyService  # noqa: E402

JOBS = 40
PAUSE_S = 0.0 if case.TROUBLE else 0.3  # between submissions
FINISH_S = 14  # finish_s
IDLE_S = 3  # a job may have nothing running for so long
WATCH_S = 15


async def scenario(cluster):
    record = cluster.record
    policy = SlowPolicyService(decision_ms=100, period_ms=5, validity_ms=3000)
    cluster.advice_address = await policy.http.listen("127.0.0.1")
    done = {}

    def on_end(_, task, run, how):
        if how == "done":
            done.setdefault(task.split(".")[0], set()).add(task)

    for number in range(8):
        worker = await cluster.add_worker(f"i-7f3a9{number:03x}", "lineplan", lambda task: 0.5)
        worker.ticket_of = lambda task, worker=worker: policy.ticket(task.rsplit(".", 1)[0], worker.id)
        worker.needs = lambda task: (500, 256)
        worker.on_end = on_end
    cluster.publish([route("r-checked", "/checked/", "lineplan", advice=policy.advice)], [("lineplan", False)])
    await cluster.start_nodes()

    accepted = []

    async def submit(number):
        job = f"{0x5c0e7a21d94b3600 + number:016x}"
        status, _ = await cluster.client("POST", f"/checked/{job}", {"spec": "checked", "steps": [
            {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 500}]}, node=number, quiet=number > 2)
        if status == 200:
            accepted.append(job)

    submissions = []
    for number in range(JOBS):
        submissions.append(asyncio.create_task(submit(number)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*submissions)
    if not accepted:
        raise RuntimeError("no job was accepted")
    record.write(f"end of the traffic; {len(accepted)} of {JOBS} jobs accepted, each of 2 tasks of 0.5 s")
    await asyncio.sleep(FINISH_S)
    record.write(f"policy service: {policy.answered} calls answered, {policy.refused} refused by 429, "
                 f"{policy.skipped} skipped as the caller had left")

    idle_since, longest = {}, dict.fromkeys(accepted, 0.0)
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        now = time.monotonic()
        running = {task.split(".")[0] for worker in cluster.workers for task in worker.running}
        for job in accepted:
            if job in running or len(done.get(job, ())) == 2:
                idle_since.pop(job, None)
            else:
                longest[job] = max(longest[job], now - idle_since.setdefault(job, now))
        await asyncio.sleep(0.02)
    finished = sum(len(done.get(job, ())) == 2 for job in accepted)
    record.write(f"{FINISH_S + WATCH_S} s after the end of the traffic {finished} of {len(accepted)} jobs are done")
    record.write(f"policy service: {policy.answered} calls answered, {policy.refused} refused by 429, "
                 f"{policy.skipped} skipped as the caller had left")
    for job in sorted(accepted):
        if longest[job] > 0:
            record.write(f"job {job}: {len(done.get(job, ()))} of 2 tasks done; from {FINISH_S} s after the end of the "
                         f"traffic it had a task to run and nothing running for {longest[job]:.2f} s at a stretch")
    await policy.http.close()
    idle = [job for job in accepted if longest[job] > IDLE_S]
    if idle:
        raise case.Broken(f"LOST: {len(idle)} of {len(accepted)} accepted jobs had nothing running for up to "
                          f"{max(longest.values()):.1f} s, though their service was idle")


sys.exit(case.main(scenario, os.path.dirname(os.path.abspath(__file__)), events=("advice",)))
