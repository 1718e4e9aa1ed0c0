"""Disturbances of the store, of connections, of workers and of the host service."""
import asyncio

from fault_tools import some, touch
from faulty_platform import LAPSE_S, let_go, odd_values
from users_platform import call, dump

REUSE_S = 2.0  # reuseAfterS
LEASE_LAPSES_S = 6.0  # a lease of 4 s has lapsed on a slow clock, with time to spare
LONG_DELAY_S = 2.5  # orders were under way for so long in the users' record
CUT_S = 5.5  # of a plain cut in the site files, longer than a lease


# the store


async def store_down(world, random, seconds):
    """The store answers nobody; afterwards the members' times have passed or paused, and entries may be gone."""
    touch(world, None, seconds)
    world.store.down = True
    await asyncio.sleep(seconds)
    if random.random() < 0.5:
        for group in world.store.groups.values():
            group.pause(int(seconds * 1000))
    if seconds > LAPSE_S and random.random() < 0.5:
        for worker in random.sample(world.workers, 10):
            world.store.put("keyed.servers", 0, [(worker.id.encode(), None)])
    world.store.down = False


async def store_slow(world, random, seconds):
    await with_store(world, seconds, "delay_s", random.choice([0.05, 0.2, 0.6]))


async def store_loses_answers(world, random, seconds):
    await with_store(world, seconds, "lost_share", random.choice([0.1, 0.4]))


async def with_store(world, seconds, name, value):
    touch(world, None, seconds)
    setattr(world.store, name, value)
    await asyncio.sleep(seconds)
    setattr(world.store, name, 0.0)


async def store_turns_some_away(world, random, seconds):
    nodes = some(random, world.nodes, len(world.nodes) // 2)
    touch(world, nodes, seconds)
    how = random.choice(["503", "429", "reset", "silent"])
    world.store.treatment.update({node.number: how for node in nodes})
    await asyncio.sleep(seconds)
    for node in nodes:
        world.store.treatment.pop(node.number, None)


async def store_forgets(world, random, seconds):
    touch(world, None, 0, core=True)
    world.store.drop_history()


async def store_deals_anew(world, random, seconds):
    for _ in range(random.randint(1, 3)):
        touch(world, None, 0, core=True)
        world.store.deal_anew()
        await asyncio.sleep(seconds / 3)


async def store_deals_at_once(world, random, seconds):
    """All partitions go to other members before their holders have given them back."""
    for _ in range(random.randint(1, 6)):
        touch(world, None, 0, core=True)
        world.store.deal_at_once()
        await asyncio.sleep(random.uniform(0.02, seconds / 2))


async def deals_in_series(world, random, seconds):
    """Tens of generations of the group in a minute, while starts are under way."""
    end = world.now() + 4 * seconds
    while world.now() < end:
        touch(world, None, 2, core=True)
        if random.random() < 0.3:
            world.store.deal_anew()
        else:
            world.store.deal_at_once()
        await asyncio.sleep(random.uniform(0.05, 2.5))


async def store_parts_away(world, random, seconds):
    """Some partitions of all topics but the operator's cannot be reached; the group can."""
    touch(world, None, seconds)
    how = random.choice(["503", "reset", "silent"])
    parts = some(random, range(world.store.parts), 4)
    world.store.parts_away.update(dict.fromkeys(parts, how))
    await asyncio.sleep(seconds)
    for part in parts:
        world.store.parts_away.pop(part, None)


async def store_writes_late(world, random, seconds):
    """Writes get no answer and are carried out up to 6 s later, after newer ones."""
    touch(world, None, seconds + 6)
    await with_store(world, seconds, "late_share", random.choice([0.05, 0.3]))


async def store_revokes(world, random, seconds):
    """The store turns some nodes away and ends their memberships at once, several times."""
    nodes = some(random, world.nodes, len(world.nodes) // 2)
    touch(world, None, seconds)
    how = random.choice(["503", "reset", "silent"])
    world.store.treatment.update({node.number: how for node in nodes})
    for _ in range(random.randint(1, 4)):
        world.store.revoke([node.listen["control"] for node in nodes])
        await asyncio.sleep(seconds / 4)
    for node in nodes:
        world.store.treatment.pop(node.number, None)


async def odd_entries(world, random, seconds):
    """Other writers leave what cannot be read."""
    for number in range(25):
        key = random.choice([b"odd-%d" % number, b"\xff\xfe%d" % number, b"odd\r\n%d" % number, b"o" * 255])
        topic, name = random.choice([("keyed.servers", key), ("keyed.servers", key),
                                     ("keyed.op", b"wave/" + key[:9]), ("keyed.op", key)])
        world.store.put(topic, 0, [(name, odd_values(random))])
        await asyncio.sleep(seconds / 25)
    for name in [name for name in world.store.partition("keyed.servers", 0).newest if not name.startswith(b"i-")]:
        world.store.put("keyed.servers", 0, [(name, None)])


async def odd_nesting(world, random, seconds):
    """Entries and requests of very deep nesting."""
    deep = b'{"a":' * 60_000 + b"1" + b"}" * 60_000
    world.store.put("keyed.servers", 0, [(b"odd-deep", deep)])
    await call(random.choice(world.nodes).listen["front"], "POST", "/lineplan/00000000000000ee",
               {"Host": "jobs.example"}, None)
    await asyncio.sleep(seconds)
    world.store.put("keyed.servers", 0, [(b"odd-deep", None)])


# connections


async def store_links(world, random, seconds):
    await harm(world, random, seconds, [node.store_link for node in some(random, world.nodes, 3)])


async def peer_links(world, random, seconds):
    relays = [relay for node in world.nodes for relay in node.peer_links.values()]
    await harm(world, random, seconds, random.sample(relays, len(relays) // 3))


async def worker_links(world, random, seconds):
    await harm(world, random, seconds, [worker.relay for worker in some(random, world.workers, 6)])


async def links_held(world, random, seconds):
    """Links hold the bytes of both sides and deliver them when they heal, also of senders that have ended. Held are the
    links of some workers, all links of some nodes to workers, to peers or to the store; or they are only slow."""
    relays, sources = random.choice([worker_relays, node_relays, peer_relays, store_relays])(world, random)
    touch(world, None, seconds + LEASE_LAPSES_S)
    end = world.now() + seconds
    while world.now() < end:
        how = random.choice(["forth", "back", "both", "both", "open", "delay"])
        # A cut may outlast the leases of the workers; a slow link does not.
        most_s = min(seconds, LONG_DELAY_S) if how == "delay" else max(seconds, random.choice([0, LEASE_LAPSES_S]))
        await hold(random, relays, sources, how, random.uniform(0.3, most_s))
        await asyncio.sleep(random.uniform(0.05, 0.5))


def worker_relays(world, random):
    return [worker.relay for worker in some(random, world.workers, 24)], None


def node_relays(world, random):
    return [worker.relay for worker in world.workers], {node.ip for node in some(random, world.nodes, 3)}


def peer_relays(world, random):
    relays = [relay for node in world.nodes for relay in node.peer_links.values()]
    return random.sample(relays, len(relays) // 3), None


def store_relays(world, random):
    return [node.store_link for node in some(random, world.nodes, 3)], None


async def hold(random, relays, sources, how, seconds):
    """Holds links for so long, or delays them by at most as much.
    @param sources only connections from these addresses are held; None: all
    @param how a direction, "open" for the connections that are open now, or "delay" """
    if how == "open":
        # Retransmission backs off, so that connections of one link heal at different times.
        for relay in relays:
            pipes = relay.hold_open(sources)
            asyncio.get_running_loop().call_later(seconds * random.uniform(0.6, 1.0), let_go, pipes)
    elif how == "delay":
        for relay in relays:
            relay.delay_s = random.uniform(0.1, 1.0) * seconds
    else:
        for relay in relays:
            relay.hold, relay.hold_sources = how, sources
    await asyncio.sleep(seconds)
    for relay in relays:
        relay.delay_s = 0.0
        relay.heal()


async def workers_cut(world, random, seconds):
    """A sixth of the workers is cut off from all nodes and runs on; some of them are cut off from the store as well, and
    single ones that register for twice as long."""
    touch(world, None, 2 * CUT_S + LEASE_LAPSES_S)
    workers = random.sample(world.workers, max(1, len(world.workers) // 6))
    for worker in workers:
        worker.relay.hold, worker.relay.hold_sources = "both", None
        if random.random() < 0.3:
            worker.cut_from_store()
    await asyncio.sleep(CUT_S)
    registered = [worker for worker in workers if worker.reaches_store]
    longer = random.sample(registered, min(len(registered), random.choice([0, 0, 2])))
    for worker in workers:
        worker.reaches_store = True
        if worker not in longer:
            worker.relay.heal()
    if longer:
        await asyncio.sleep(CUT_S)
    for worker in longer:
        worker.relay.heal()


async def paths_cut(world, random, seconds):
    """Some nodes lose the paths to some workers for longer than a lease; the other nodes reach these workers."""
    cut_s = random.uniform(5, 20)
    touch(world, None, cut_s + LEASE_LAPSES_S)
    nodes = some(random, world.nodes, max(1, len(world.nodes) // 2))
    workers = some(random, world.workers, max(1, len(world.workers) // 3))
    for worker in workers:
        worker.relay.hold, worker.relay.hold_sources = "both", {node.ip for node in nodes}
    await asyncio.sleep(cut_s)
    for worker in workers:
        worker.relay.heal()


async def one_way(world, random, seconds):
    """Links of one or two nodes to the store are held in one direction, and their memberships may end."""
    nodes = some(random, world.nodes, 2)
    touch(world, None, CUT_S + LEASE_LAPSES_S)
    how = random.choice(["forth", "back"])
    for node in nodes:
        node.store_link.hold, node.store_link.hold_sources = how, None
    if random.random() < 0.5:
        world.store.revoke([node.listen["control"] for node in nodes])
    await asyncio.sleep(random.uniform(4.5, 9))
    for node in nodes:
        node.store_link.heal()


async def island(world, random, seconds):
    """Two nodes and half of the workers reach each other and nobody else; the rest goes on."""
    touch(world, None, 2 * LEASE_LAPSES_S + 6)
    inside = random.sample(world.nodes, 2)
    numbers = {node.number for node in inside}
    near = random.sample(world.workers, len(world.workers) // 2)
    relays = [node.store_link for node in inside]
    relays += [relay for node in world.nodes for number, relay in node.peer_links.items()
               if (node.number in numbers) != (number in numbers)]
    for relay in relays:
        relay.hold = "both"
    for worker in world.workers:
        far = [node for node in world.nodes if (node in inside) != (worker in near)]
        worker.relay.hold, worker.relay.hold_sources = "both", {node.ip for node in far}
        relays.append(worker.relay)
    if random.random() < 0.5:
        world.store.revoke([node.listen["control"] for node in inside])
    await asyncio.sleep(random.uniform(6, 13))
    for relay in relays:
        relay.heal()


async def harm(world, random, seconds, relays):
    touch(world, None, seconds)
    how = random.choice(["delay", "forth", "back", "both", "reset", "mute"])
    if how == "mute":
        for relay in relays:
            relay.mute_open()
        return
    end = world.now() + seconds
    while world.now() < end:
        for relay in relays:
            if how == "delay":
                relay.delay_s = random.choice([0.02, 0.2, 1.0])
            elif how == "reset":
                relay.reset()
            else:
                relay.silent = how
        await asyncio.sleep(min(0.5, max(0.01, end - world.now())))
    for relay in relays:
        relay.delay_s, relay.silent = 0.0, ""
        if how != "delay":
            relay.reset()


# workers


async def workers_crash(world, random, seconds):
    """Single workers, or a whole rack; they return under their ids."""
    workers = some(random, world.workers, 3)
    if random.random() < 0.3:
        workers = [worker for worker in world.workers if worker.labels == workers[0].labels]
    touch(world, None, seconds)
    await asyncio.gather(*[worker.crash(seconds) for worker in workers])


async def workers_recut(world, random, seconds):
    """Workers start again under their ids and take calls that were meant for their former lives; most are cut off soon
    after, for longer than a lease."""
    workers = some(random, world.workers, 4)
    touch(world, None, 2 * CUT_S + LEASE_LAPSES_S)
    await asyncio.gather(*[worker.restart_in_place(random.uniform(0.4, 1.0)) for worker in workers])
    await asyncio.sleep(random.uniform(0, 2))
    cut = [worker for worker in workers if random.random() < 0.8]
    for worker in cut:
        worker.relay.hold, worker.relay.hold_sources = "both", None
        worker.cut_from_store()
    await asyncio.sleep(2 * CUT_S)
    for worker in cut:
        worker.reaches_store = True
        worker.relay.heal()


async def workers_leave(world, random, seconds):
    workers = [worker for worker in some(random, world.workers, 4) if worker.alive and worker.state == "ready"]
    touch(world, None, 7)
    await asyncio.gather(*[worker.drain() for worker in workers])


async def workers_slow(world, random, seconds):
    await with_workers(some(random, world.workers, 5), seconds, "slowness", 6.0, 1.0)


async def workers_fail(world, random, seconds):
    """Workers fail all that they start."""
    await with_workers(some(random, world.workers, 2), seconds, "fails_all", True, False)


async def orders_late(world, random, seconds):
    """Workers leave starts, stops and holds unanswered and carry them out up to 12 s later, after newer ones."""
    touch(world, None, seconds + 12)
    await with_workers(some(random, world.workers, 12), seconds, "late_share", random.choice([0.1, 0.5]), 0.0)


async def orders_unanswered(world, random, seconds):
    """Workers carry starts, stops and holds out, and their answers are lost."""
    touch(world, None, seconds)
    await with_workers(some(random, world.workers, 12), seconds, "lost_share", random.choice([0.1, 0.5]), 0.0)


async def addresses_reused(world, random, seconds):
    """Workers of two services end, and each address goes to a new worker of the other service; their old entries go
    at once or when they lapse."""
    touch(world, None, seconds + 5)
    for _ in range(random.randint(1, 3)):
        ready = [worker for worker in world.workers if worker.alive and worker.state == "ready"]
        pair = random.sample(ready, 2) if len(ready) > 1 else []
        if len({worker.service for worker in pair}) < 2:
            continue
        leaves = random.random() < 0.5
        ends = [world.spawn(worker.crash(random.uniform(REUSE_S, REUSE_S + 3), leaves, worker.next_id))
                for worker in pair]
        await asyncio.sleep(0.2)
        pair[0].relay, pair[1].relay = pair[1].relay, pair[0].relay
        await asyncio.wait(ends)


async def with_workers(workers, seconds, name, value, usual):
    for worker in workers:
        setattr(worker, name, value)
    await asyncio.sleep(seconds)
    for worker in workers:
        setattr(worker, name, usual)


async def wave(world, random, seconds):
    """A fifth of the machines are due for maintenance."""
    touch(world, None, 20)
    machines = [world.machine(worker) for worker in random.sample(world.workers, len(world.workers) // 5)]
    number = random.randrange(1, 1000)
    world.store.put("keyed.op", 0, [(b"wave/%d" % number, dump(
        {"wave": number, "machines": machines, "finishByS": 20, "maxCount": 3}))])


async def odd_hosts(world, random, seconds):
    """The host service lists rows that cannot be read."""
    rows = [7, "x", None, [], {}, {"machine": 1}, {"machine": "m-x", "capacity": 5, "labels": 5, "id": None}]
    world.hosts.odd = random.sample(rows, 2)
    await asyncio.sleep(seconds)
    world.hosts.odd = []
