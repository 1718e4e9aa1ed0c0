"""Workers that start again in place, under their ids, with what else may go wrong at that time."""
import asyncio
import json
import signal

from fault_tools import some, taken, touch
from faulty_platform import dump
from node_faults import apart
from platform_faults import CUT_S, LEASE_LAPSES_S

OLD_CLOCK_MS = 4_000_000
AWAY_S = (0.3, 1.2)  # how long a process takes to start again
GAP_S = (0.0, 2.5)  # from the restart to the cut
# A lasting job is cancelled after so long, beyond a cut. Silent workers with 130 runs each cost the soak 19,000
# descriptors, as each call for a run is repeated and stays open for UNANSWERED_S.
LASTS_S = 18.0


def pick(world, random):
    """@return a third of the workers of one service"""
    service = world.next_service()
    workers = [worker for worker in world.workers if worker.service == service] or world.workers
    return random.sample(workers, max(1, len(workers) // 3))


async def feed(world, random, workers):
    """Hands jobs in for the service of these workers, at the moment when they start again: tasks that last for long,
    so that starts cross the restart."""
    steps = [{"count": 2 * len(workers), "cpu": 100, "memMb": 64, "estimateMs": 12_000}]
    lasting = [{**steps[0], "longRunning": True, "missAllowed": 1}]
    for kind, what, cancel_after_s in [("plain", steps, None), ("lasting", lasting, LASTS_S)] * 2:
        world.spawn(world.client(world.new_job(kind, what, workers[0].service), cancel_after_s))
        await asyncio.sleep(random.uniform(0.01, 0.08))


async def restart(world, random, workers=None):
    """@return workers that have started again in place"""
    workers = workers or pick(world, random)
    await asyncio.gather(feed(world, random, workers), *in_place(random, workers))
    return workers


def in_place(random, workers):
    """@return the coroutines in which these workers start again"""
    return [worker.restart_in_place(random.uniform(*AWAY_S)) for worker in workers]


async def cut(world, random, workers, ways, seconds):
    """Cuts each worker off for so long, one of `ways`; what is sent is lost, or comes when the link heals. Some nodes
    may still reach it, and it may go on registering."""
    grown = world.deployment.grown  # its workers have no relay
    for worker in workers:
        way = random.choice(ways)
        if grown or random.random() < 0.5:
            worker.silent = way
        else:
            worker.relay.hold = way
            nodes = random.sample(world.nodes, random.randint(1, len(world.nodes)))
            worker.relay.hold_sources = random.choice([None, {node.ip for node in nodes}])
        if random.random() < 0.5:
            worker.cut_from_store()
    await asyncio.sleep(seconds)
    for worker in workers:
        worker.silent, worker.reaches_store = "", True
        worker.relay.heal()


async def recut_one_way(world, random, seconds):
    """Workers start again and are cut off in one direction soon after: calls do not arrive, or answers get lost."""
    touch(world, None, 2 * CUT_S + LEASE_LAPSES_S + AWAY_S[1] + GAP_S[1])
    workers = await restart(world, random)
    await asyncio.sleep(random.uniform(*GAP_S))
    await cut(world, random, workers, ["forth", "back"], random.choice([1.5, CUT_S, 2 * CUT_S]))


async def cut_before_back(world, random, seconds):
    """Workers are cut off while they start again: their next processes take the calls that have arrived by then, among
    them starts of tasks that last, and nobody hears of it."""
    touch(world, None, 2 * CUT_S + LEASE_LAPSES_S + AWAY_S[1])
    workers = pick(world, random)
    backs = [world.spawn(one) for one in in_place(random, workers)]
    await feed(world, random, workers)
    for worker in workers:
        worker.silent = "both"
        worker.cut_from_store()
    await asyncio.wait(backs)
    for worker in workers:
        worker.cut_from_store()  # the entry of the former life lapses
    await asyncio.sleep(14.0)
    for worker in workers:
        worker.silent, worker.reaches_store = "", True


async def recut_store_silent(world, random, seconds):
    """Workers start again while the store answers nobody, and are cut off before or after it answers again."""
    away_s = random.uniform(1.0, 4.0)  # below the time after which members lose their partitions, or beyond
    touch(world, None, away_s + 2 * CUT_S + LEASE_LAPSES_S + AWAY_S[1] + GAP_S[1])
    restarting = world.spawn(restart(world, random))
    await asyncio.sleep(random.uniform(0, 0.5))
    world.store.down = True
    asyncio.get_running_loop().call_later(away_s, setattr, world.store, "down", False)
    workers = await restarting
    await asyncio.sleep(random.uniform(*GAP_S))
    await cut(world, random, workers, ["forth", "back", "both"], 2 * CUT_S)


async def recut_nodes_paused(world, random, seconds):
    """Several times: nodes stand still while workers start again, and go on before or after these are cut off."""
    for _ in range(random.randint(2, 3)):
        touch(world, None, 2 * CUT_S + LEASE_LAPSES_S + AWAY_S[1] + GAP_S[1])
        with taken(some(random, world.nodes, len(world.nodes))) as nodes:
            restarting = world.spawn(restart(world, random))
            await asyncio.sleep(random.uniform(0, 0.5))
            for node in nodes:
                node.signal(signal.SIGSTOP)
            workers = await restarting
            pause_s = random.choice([0.05, 0.5, 2.0, 5.0])
            cutting = None
            if random.random() < 0.5:
                cutting = world.spawn(cut(world, random, workers, ["forth", "back", "both"], CUT_S + pause_s))
            await asyncio.sleep(pause_s)
            for node in nodes:
                node.signal(signal.SIGCONT)
        await asyncio.sleep(random.uniform(0, 1.0))
        await (cutting or cut(world, random, workers, ["forth", "back", "both"], 2 * CUT_S))


async def restarts_in_series(world, random, seconds):
    """The same workers start again several times, in part during a cut, and nodes are killed meanwhile."""
    touch(world, None, 2 * CUT_S + LEASE_LAPSES_S + 4 * (AWAY_S[1] + GAP_S[1]))
    workers = pick(world, random)
    for _ in range(random.randint(1, 3)):
        await asyncio.gather(*in_place(random, workers))
        await asyncio.sleep(random.choice([0.0, 0.1, 0.5, GAP_S[1]]))
    await restart(world, random, workers)
    await asyncio.sleep(random.uniform(*GAP_S))
    cutting = world.spawn(cut(world, random, workers, ["forth", "back", "both"], 2 * CUT_S))
    if random.random() < 0.5:
        await asyncio.sleep(random.uniform(0, CUT_S))
        await asyncio.gather(*in_place(random, workers))
    if random.random() < 0.5:
        with taken(some(random, world.nodes, 3)) as nodes:
            for node in nodes:
                node.kill()
            await asyncio.sleep(0.3)
            for node in nodes:
                node.start()
    await cutting


async def long_jobs(world, random, seconds):
    """Tasks that run for several leases, some with copies or checkpoints."""
    extras = [{}, {"speculative": True}, {"maxPerServer": 1}, {"checkpointing": True}]
    for _ in range(4):
        steps = [{"count": random.randint(4, 20), "cpu": random.choice([500, 1900]), "memMb": 256,
                  "estimateMs": random.randint(3000, 9000), **random.choice(extras)}]
        world.spawn(world.client(world.new_job(steps=steps)))


async def gang_jobs(world, random, seconds):
    """Gangs that work for several leases."""
    for _ in range(4):
        steps = [{"count": random.randint(2, 8), "cpu": 900, "memMb": 256, "estimateMs": random.randint(1500, 6000),
                  "gang": True}]
        world.spawn(world.client(world.new_job(steps=steps)))


# starts


async def old_clocks(world, random):
    """The clock of each first process is far ahead of that of the next one."""
    for worker in world.workers:
        worker.clock_start -= OLD_CLOCK_MS
    await apart(world, random)


async def with_advice(world, random):
    """All queues have advice, and a ticket holds for one life of a worker."""

    def ticket(worker, step):
        return f"t-{step}-{worker.id}-{worker.born}"

    async def advise(method, path, query, headers, body):
        order, by_id = json.loads(body), {worker.id: worker for worker in world.workers}
        rows = [[name, ticket(by_id[name], order["step"])] for name in order["workers"] if name in by_id]
        await asyncio.sleep(0.01)
        return 200, dump({"allowedWorkers": rows, "validityMs": 60_000})

    world.policy.http.handler = advise
    for worker in world.workers:
        worker.ticket_of = lambda task, worker=worker: ticket(worker, task.rsplit(".", 1)[0])
    world.queue_extras = {"advice": {"decisionMs": 10, "periodMs": 2, "validityMs": 60_000}}
    world.publish()
    await old_clocks(world, random)
