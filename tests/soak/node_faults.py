"""Disturbances of the processes, and how they start."""
import asyncio
import json
import os
import signal

from fault_tools import some, taken, touch
from faulty_platform import odd_values
from nodes import limit_files
from platform_faults import hold

QUOTA_PERIOD_S = 0.1  # the kernel's period for processor quotas


# processes


async def node_stop(world, random, seconds):
    """Planned stops with restart, of some nodes at once."""
    with taken(some(random, world.nodes, 3)) as nodes:
        touch(world, nodes, 8)
        await asyncio.gather(*[node.stop() for node in nodes])
        await asyncio.sleep(random.choice([0, seconds / 3]))
        for node in nodes:
            node.start()


async def stops_in_turn(world, random, seconds):
    with taken(world.nodes) as nodes:
        for node in nodes:
            touch(world, [node], 8)
            await node.stop()
            node.start()
            await asyncio.sleep(0.3)


async def node_kill(world, random, seconds):
    with taken(some(random, world.nodes, 3)) as nodes:
        await kill(world, random, nodes, random.choice([0, 0, 0.3, seconds]))


async def all_killed(world, random, seconds):
    with taken(world.nodes) as nodes:
        await kill(world, random, nodes, random.choice([0, 0.7]))


async def all_killed_links_held(world, random, seconds):
    """All nodes lose power and come back, as at the end of the platform's days, while links of some nodes to the workers
    hold what was sent before."""
    with taken(world.nodes) as nodes:
        if not nodes:
            return
        sources = {node.ip for node in some(random, nodes, len(nodes))}
        relays = [worker.relay for worker in world.workers]
        how = random.choice(["forth", "back", "both", "open", "open", "delay"])
        away_s = random.uniform(0.7, 1.6)
        before_s = random.uniform(0.0, 1.0)
        held_s = before_s + away_s + random.uniform(-0.5, 2.5)
        touch(world, None, held_s + 3)
        holding = world.spawn(hold(random, relays, sources, how, held_s))
        await asyncio.sleep(before_s)
        await kill(world, random, nodes, away_s)
        await holding


async def nodes_throttled(world, random, seconds):
    """Some or all nodes have hosts of 0.12 to 0.25 cores: of each tenth of a second, they run for this share."""
    nodes = some(random, world.nodes, 3) if random.random() < 0.4 else list(world.nodes)
    touch(world, None, 3 * seconds)
    await asyncio.gather(*[throttle(world, random, node, 3 * seconds) for node in nodes])


async def throttle(world, random, node, seconds):
    share = random.uniform(0.12, 0.25)
    end = world.now() + seconds
    await asyncio.sleep(random.uniform(0, QUOTA_PERIOD_S))
    while world.now() < end:
        process = node.process
        # Node.signal() writes a record for each signal and marks the node as paused; that is for disturbances only.
        if not node.paused and process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep((1 - share) * QUOTA_PERIOD_S)
            if not node.paused and process.poll() is None:
                process.send_signal(signal.SIGCONT)
        await asyncio.sleep(share * QUOTA_PERIOD_S)


async def kill(world, random, nodes, away_s):
    touch(world, None, away_s + 3)
    for node in nodes:
        node.kill()
    await asyncio.sleep(away_s)
    for node in random.sample(nodes, len(nodes)):
        node.start()
        await asyncio.sleep(random.uniform(0, 0.05))


async def nodes_join(world, random, seconds):
    """Nodes at new addresses join."""
    for _ in range(random.randint(1, 2)):
        world.add_node()
        touch(world, world.nodes[-1:], 5)
        await asyncio.sleep(random.uniform(0, seconds))


async def node_replaced(world, random, seconds):
    """A node is gone for good, by a planned stop or by a crash, and an empty one comes at another address."""
    with taken([random.choice(world.nodes)]) as nodes:
        for node in nodes[:len(world.spares)]:
            world.nodes.remove(node)
            if random.random() < 0.5:
                touch(world, [node], 8)
                await node.stop()
            else:
                touch(world, None, seconds + 3)
                node.kill()
            await asyncio.sleep(random.uniform(0, seconds))
            world.add_node()
            touch(world, world.nodes[-1:], 5)


async def node_pause(world, random, seconds):
    with taken(some(random, world.nodes, 3)) as nodes:
        touch(world, None, seconds)
        for node in nodes:
            node.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for node in nodes:
            node.signal(signal.SIGCONT)


async def node_reload(world, random, seconds):
    """SIGHUP with other settings, unreadable ones, or none."""
    with taken(some(random, world.nodes, 4)) as nodes:
        for node in nodes:
            how = random.choice(["seeds", "null", "broken", "missing", "same"])
            node.extra = {"seeds": {"seeds": [random.choice(world.nodes).listen["control"], "127.0.0.1:9", "x", ""]},
                          "null": {"zones": None, "cloudApi": None, "limits": None, "bounds": None, "new": [{}]},
                          }.get(how, {})
            node.write_settings()
            if how == "broken":
                with open(node.file, "w", encoding="utf-8") as out:
                    out.write(json.dumps(node.settings())[:random.randrange(200)])
            if how == "missing":
                os.remove(node.file)
            for _ in range(random.choice([1, 1, 20])):
                node.signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            node.extra = {}
            node.write_settings()


async def reload_at_start(world, random, seconds):
    """SIGHUP in the first milliseconds of a process."""
    with taken([random.choice(world.nodes)]) as nodes:
        touch(world, None, 5)
        for node in nodes * 6:
            node.kill()
            node.start()
            await asyncio.sleep(random.uniform(0.001, 0.03))
            node.signal(signal.SIGHUP)
            await asyncio.sleep(0.3)


# starts


async def apart(world, random):
    """All nodes within 0.3 s, in any order."""
    for node in random.sample(world.nodes, len(world.nodes)):
        node.start()
        await asyncio.sleep(random.uniform(0, 0.3 / len(world.nodes)))


async def idle_leases_last(world, random):
    """A lease that runs out while nothing runs is no lapse. TWICE leaves open whether an end that is listed then is
    void; here it is not."""
    for worker in world.workers:
        worker.idle_lapses = False
    await apart(world, random)


async def without_store(world, random):
    """The store is not there yet."""
    world.store.down = True
    touch(world, None, 4)
    await apart(world, random)
    await asyncio.sleep(3)
    world.store.down = False


async def without_configuration(world, random):
    newest = world.store.partition("keyed.op", 0).newest.pop(b"config")
    touch(world, None, 4)
    await apart(world, random)
    await asyncio.sleep(3)
    world.store.put("keyed.op", 0, [(b"config", newest[0])])


async def with_odd_settings(world, random):
    """Null, unknown and missing fields."""
    for node in world.nodes:
        node.extra = random.choice([
            {"cloudApi": None}, {"advice": None}, {"bounds": None}, {"limits": None}, {"seeds": None}, {"seeds": []},
            {"unknown": {"a": [None]}}, {"zones": None, "contracts": None}, {"cloudApi": {"address": None}},
            {"cloudApi": {"address": world.host_address, "dutyPerS": 0.5}},
            {"faultTolerance": None, "heartbeatMs": None, "region": None, "dataDir": "/none"}])
    await apart(world, random)
    for node in world.nodes:
        node.extra = {}


async def restarted_at_once(world, random):
    """Killed and started again under the same ports before they are ready."""
    await apart(world, random)
    for node in random.sample(world.nodes, len(world.nodes)):
        node.kill()
        node.start()


async def with_odd_records(world, random):
    """Unreadable records are there before the nodes."""
    for number in range(40):
        world.store.put(random.choice(["keyed.servers", "keyed.op"]), 0, [(b"odd-%d" % number, odd_values(random))])
    await apart(world, random)


async def with_small_files(world, random):
    """The size of files is limited, and the logs reach it."""
    for node in world.nodes:
        node.limits = limit_files
    await apart(world, random)
