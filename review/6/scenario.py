"""A large job whose tasks write checkpoints runs; small jobs of the same service are accepted meanwhile."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standin-2"))
import case  # noqa: E402
from cluster import route  # noqa: E402
from users_platform import now_ms  # noqa: E402

TASKS = 2000
CHECKPOINT_BYTES = 250 if case.TROUBLE else 16  # 16: as in the example of the pages
CHECKPOINT_MS = 2000  # checkpointS
LARGE = "5c0e7a21d94b36f8"
SMALL = [f"{0xa0000000000000 + number:016x}" for number in range(8)]
STEPS = 8  # of a small job, one after the other
STEP_S = 0.3
FINISH_S = 14  # finish_s
IDLE_S = 3  # a job may have nothing running for so long
WATCH_S = 25
ATTEMPTS = 5  # the first one and the clients' 4 retries


def checkpoint_of(worker, task):
    """A new value with each checkpointS of work."""
    if not task.startswith(LARGE) or now_ms() - worker.running[task][2] < CHECKPOINT_MS:
        return ""
    if CHECKPOINT_BYTES <= 16:
        return "00000bb87a21d94b"
    return f"store-1.example/checkpoints/lineplan/{task}/".ljust(CHECKPOINT_BYTES, "0")


def duration_of(task):
    """The tasks of the large job are uneven: 12 s to 10 minutes."""
    return 12 + int(task.rsplit(".", 1)[1]) * 37 % 600 if task.startswith(LARGE) else STEP_S


async def scenario(cluster):
    record = cluster.record
    started, done = set(), {}

    def on_end(_, task, run, how):
        if how == "done":
            done.setdefault(task.split(".")[0], set()).add(task)

    for number in range(8):
        worker = await cluster.add_worker(f"i-7f3a9{number:03x}", "lineplan", duration_of, rack=f"r1-{number // 4}")
        worker.needs = lambda task: (10, 20) if task.startswith(LARGE) else (500, 256)
        worker.saved_of = lambda task, worker=worker: checkpoint_of(worker, task)
        worker.on_start = lambda _, task, run: started.add(task)
        worker.on_end = on_end
    cluster.publish([route("r-large", "/large/", "lineplan"), route("r-small", "/small/", "lineplan")],
                    [("lineplan", False)])
    await cluster.start_nodes()

    status, _ = await cluster.client("POST", f"/large/{LARGE}", {"spec": "large", "steps": [
        {"count": TASKS, "cpu": 10, "memMb": 20, "estimateMs": 300000, "checkpointing": True}]})
    if status != 200:
        raise RuntimeError(f"the large job was answered {status}")
    await asyncio.sleep(16)
    begun = sum(task.startswith(LARGE) for task in started)
    record.write(f"{begun} of {TASKS} tasks of the large job have begun; their checkpoints have {CHECKPOINT_BYTES} "
                 f"bytes; they use at most {TASKS * 10 / 1000:.0f} of 128 cores")

    accepted = []
    for number, job in enumerate(SMALL):
        steps = [{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 300, **({"dependsOn": [step - 1]} if step else {})}
                 for step in range(STEPS)]
        for attempt in range(ATTEMPTS):
            status, _ = await cluster.client("POST", f"/small/{job}", {"spec": "small", "steps": steps},
                                             node=number + attempt)
            if status == 200:
                accepted.append(job)
                break
    record.write(f"end of the traffic; {len(accepted)} of {len(SMALL)} small jobs accepted, each of {STEPS} steps of "
                 f"{STEP_S} s")
    await asyncio.sleep(FINISH_S)

    idle_since, longest = {}, dict.fromkeys(accepted, 0.0)
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        now = time.monotonic()
        running = {task.split(".")[0] for worker in cluster.workers for task in worker.running}
        for job in accepted:
            if job in running or len(done.get(job, ())) == STEPS:
                idle_since.pop(job, None)
            else:
                longest[job] = max(longest[job], now - idle_since.setdefault(job, now))
        await asyncio.sleep(0.02)
    for job in accepted:
        record.write(f"job {job}: {len(done.get(job, ()))} of {STEPS} steps done; from {FINISH_S} s after the end of "
                     f"the traffic it had a step to run and nothing running for {longest[job]:.2f} s at a stretch")
    record.write(f"store: {cluster.store.too_large} appends refused for a record longer than recordBytes")
    idle = [job for job in accepted if longest[job] > IDLE_S]
    if idle:
        raise case.Broken(f"LOST: {len(idle)} of {len(accepted)} accepted small jobs had nothing running for more than "
                          f"{IDLE_S} s, up to {max(longest.values()):.1f} s, though five sixths of their service were "
                          "idle")


sys.exit(case.main(scenario, os.path.dirname(os.path.abspath(__file__)), events=("journal_lost", "shard_lost")))
