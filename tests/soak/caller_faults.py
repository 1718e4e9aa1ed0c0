"""Disturbances by the operator and by callers."""
import asyncio
import contextlib

from fault_tools import touch
from nodes import DESCRIPTORS

STORM_GAP_S = 0.33

# operator and callers


async def configurations(world, random, seconds):
    """Versions in quick succession, some with one more service behind all others, so that theirs keep their rank."""
    for _ in range(random.choice([3, 15, 60])):
        world.extra_services.discard("zz-extra")
        world.extra_services.update(["zz-extra"] * (random.random() < 0.5))
        world.publish(random.randint(0, 40), random.choice([1000, 3000, 5000]))
        await asyncio.sleep(random.uniform(0.02, 0.2))


async def services_change(world, random, seconds):
    """Services come before, between and behind the others, and go again; they have no routes and no jobs."""
    for _ in range(random.choice([1, 3, 8])):
        world.extra_services ^= {random.choice(["aa-extra", "ee-extra", "mm-extra", "zz-extra"])}
        world.publish()
        await asyncio.sleep(random.uniform(0.05, seconds / 3))


async def routes_move(world, random, seconds):
    """Prefixes lead to other services, back again, or nowhere for a moment; accepted requests arrive once more."""
    services = list(world.leads)
    for _ in range(random.choice([1, 3, 8])):
        prefix = random.choice(services)
        world.leads[prefix] = random.choice([*services, prefix, None])
        world.publish()
        await asyncio.sleep(random.uniform(0.05, seconds / 3))
        accepted = [name for name, job in world.checker.jobs.items() if job.accepted]
        for name in random.sample(accepted, min(len(accepted), 6)):
            world.spawn(world.repeat(name))
        if world.leads[prefix] is None:
            world.leads[prefix] = random.choice(services)
            world.publish()


async def many_routes(world, random, seconds):
    for count in (200, 500, 900):
        world.publish(count)
        await asyncio.sleep(seconds / 3)
    world.publish(random.randint(0, 900))


async def big_config(world, random, seconds):
    """More than a thousand routes come at once; the configuration has 300 KB."""
    world.publish(random.randint(1100, 1400))
    await asyncio.sleep(seconds)


async def config_storm(world, random, seconds):
    """Three versions a second, as large as the one before."""
    for _ in range(max(1, round(seconds / STORM_GAP_S))):
        world.publish(timeout_ms=random.randint(2800, 3200))
        await asyncio.sleep(STORM_GAP_S)


async def large_jobs(world, random, seconds):
    for _ in range(random.randint(1, 3)):
        steps = [{"count": random.choice([60, 200]), "cpu": 500, "memMb": 128, "estimateMs": 100},
                 {"count": 50, "cpu": 500, "memMb": 128, "estimateMs": 60, "dependsOn": [0]}]
        world.spawn(world.client(world.new_job(steps=steps)))


async def hopeless_jobs(world, random, seconds):
    odd = [{"cpu": 900_000}, {"requiredLabel": "none"}, {"memMb": 10 ** 9}, {"gpu": 4}, {"cpu": 10 ** 15}]
    for _ in range(30):
        steps = [{"count": 3, "cpu": 500, "memMb": 64, "estimateMs": 100, **random.choice(odd)}]
        world.spawn(world.client(world.new_job("doomed", steps)))
        await asyncio.sleep(seconds / 30)


async def deadly_job(world, random, seconds):
    """A task that crashes its workers."""
    touch(world, None, seconds + 8)
    world.spawn(world.client(world.new_job("deadly", [{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 900}]), 8))


async def lasting_jobs(world, random, seconds):
    steps = [{"count": 5, "cpu": 1000, "memMb": 512, "estimateMs": 700, "longRunning": True, "missAllowed": 1,
              "maxPerServer": 2}]
    world.spawn(world.submit(world.new_job("lasting", steps)))


async def cancels(world, random, seconds):
    """Many jobs are handed in and cancelled."""
    for _ in range(60):
        world.spawn(world.client(world.new_job(), random.uniform(0, 1.5)))
        await asyncio.sleep(seconds / 60)


async def hasty_clients(world, random, seconds):
    """Clients that leave in the middle of a request or an answer, and requests that cannot be read."""
    body = b'{"spec":"x","steps":[{"count":' + b"9" * 40 + b"}]}"
    whole = b"POST /lineplan/%016x HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: %d\r\n\r\n%s"
    junk = [b"\x00\xff" * 50, b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 20_000, b"GET  HTTP/9.9\r\n\r\n",
            b"PUT /lineplan/x HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
            b"POST /lineplan/%00%ff HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
            b"BREW / HTTP/1.1\r\n\r\n", b"GET /lineplan/?%zz#%0a HTTP/1.1\r\nHost:\r\nDeadline-Ms: -9\r\n\r\n",
            b"DELETE /lineplan/00000000000000ff HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 9e99\r\n\r\n"]
    for _ in range(60):
        node = random.choice(world.nodes)
        ip, port = node.listen[random.choice(["front", "front", "front", "control", "ready"])].rsplit(":", 1)
        try:
            _, writer = await asyncio.open_connection(ip, int(port))
            text = random.choice(junk + [whole % (random.getrandbits(60), len(body), body)] * 4)
            writer.write(text[:random.randrange(len(text) + 1)] if random.random() < 0.5 else text)
            await asyncio.sleep(random.choice([0, 0.005, 0.05]))
            if random.random() < 0.5:
                writer.transport.abort()
            else:
                writer.close()
        except OSError:
            pass
        await asyncio.sleep(seconds / 60)


async def many_connections(world, random, seconds):
    """Clients open connections and keep them without a request: some, or more than the node has descriptors."""
    node = random.choice(world.nodes)
    touch(world, [node], seconds)
    address = node.listen["front"].rsplit(":", 1)
    writers = []
    with contextlib.suppress(OSError, asyncio.TimeoutError):
        for _ in range(random.choice([800, DESCRIPTORS + 100])):
            writers.append((await asyncio.wait_for(asyncio.open_connection(*address), 1.0))[1])
    await asyncio.sleep(seconds)
    for writer in writers:
        writer.transport.abort()


async def large_bodies(world, random, seconds):
    """Requests with bodies far beyond maxBodyBytes."""
    head = b"POST /lineplan/00000000000000dd HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: %d\r\n\r\n"
    body = b"x" * 45_000_000
    address = random.choice(world.nodes).listen["front"].rsplit(":", 1)

    async def send():
        with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head % len(body) + body)
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            writer.close()

    await asyncio.gather(*[send() for _ in range(6)])
