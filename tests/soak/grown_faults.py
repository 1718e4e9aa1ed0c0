"""What a grown deployment has besides: the store's limits, workers that serve on for long while they drain, the
processor share of each host, and disturbances that concern single hosts, so that the others stay in touch."""
import asyncio
import collections
import json
import os
import select
import signal
import socket
import subprocess
import sys
import time

from fault_tools import some, taken
from faulty_platform import BEAT_S, WORKER_IP, SoakStore, SoakWorker
from narrow_links import serve_narrow
from users_platform import HttpServer, dump

SO_BINDTODEVICE = getattr(socket, "SO_BINDTODEVICE", 25)
QUOTA_PERIOD_S = 0.1
QUOTA_STEP_S = 0.004
CONTACT_S = 4.0  # contactMs
AWAY_S = 20.0
SERVES_ON_S = 9.0  # "at times many seconds" after the report


# the store


class Rate:
    """At most so many calls in each second."""

    def __init__(self, per_s):
        self.per_s = per_s
        self.left = float(per_s)
        self.at = time.monotonic()

    def take(self, share):
        now = time.monotonic()
        self.left = min(float(self.per_s), self.left + (now - self.at) * self.per_s)
        self.at = now
        if self.left < share:
            return False
        self.left -= share
        return True


class WatchedStore(SoakStore):
    """The store, which tells of each registration that says `draining`."""

    def __init__(self, on_draining):
        super().__init__()
        self.on_draining = on_draining

    def put(self, topic, part, records):
        super().put(topic, part, records)
        if topic != "keyed.servers":
            return
        for key, value in records:
            if value and b'"state": "draining"' in value:
                self.on_draining(f"{key.decode()}/{json.loads(value)['born']}")


class GrownStore(WatchedStore):
    """The store with its limits for all nodes together, and with the history that it keeps."""

    def __init__(self, platform, on_draining, on_registry_read):
        """@param on_registry_read is called with the number of the node, the offset that it asks for and how many
        records it gets, before the answer is sent"""
        super().__init__(on_draining)
        self.on_registry_read = on_registry_read
        self.writes = Rate(platform["writesPerS"])
        self.reads = Rate(platform["readsPerS"])
        self.read_bytes_per_s = platform["readMbPerS"] * 1e6
        self.keep_s = platform["keep_s"]
        self.read_free_at = 0.0
        self.refused = collections.Counter()
        self.calls = collections.Counter()

    async def serve(self, number, method, path, query, headers, body):
        call = path.rsplit("/", 1)[-1]
        rate = self.writes if method == "POST" else self.reads
        self.calls[call] += 1
        if not rate.take(0.1 if call == "log-join" else 1.0):
            self.refused[call] += 1
            return 429, b"{}"
        answer = await super().serve(number, method, path, query, headers, body)
        if call == "log-read" and query["topic"] == "keyed.servers":
            begin = int(query["from"])
            self.on_registry_read(number, begin, self.partition("keyed.servers", 0).end - begin)
        if answer and call in ("log-read", "log-newest"):
            now = time.monotonic()
            self.read_free_at = max(now, self.read_free_at) + len(answer[1]) / self.read_bytes_per_s
            if self.read_free_at - now > 0.001:
                await asyncio.sleep(self.read_free_at - now)
        return answer

    async def expire(self):
        """Drops the history that is older than `keep_s`."""
        ends = collections.deque()
        while True:
            ends.append((time.monotonic(), {place: part.end for place, part in self.topics.items()}))
            while time.monotonic() - ends[0][0] > self.keep_s:
                self.first.update(ends.popleft()[1])
            await asyncio.sleep(1.0)


class Caller(str):
    """The address of a caller, with the port that its connection comes from."""

    port = 0


def owner_of_connection(port, target_port, nodes):
    """@return the node whose process holds the connection from `port` to a worker's port, None if none does. A node
    that has read a registration through a peer calls the worker at the peer's address, so the address does not tell."""
    ends = f":{port:04X} ", f":{target_port:04X} "
    with open("/proc/net/tcp", encoding="ascii") as table:
        inodes = {row.split()[9] for row in table if ends[0] in row[:36] and ends[1] in row[:36]}
    names = {f"socket:[{inode}]" for inode in inodes}
    for node in nodes:
        folder = f"/proc/{node.process.pid}/fd" if node.process else ""
        try:
            if any(os.readlink(f"{folder}/{number}") in names for number in os.listdir(folder)):
                return node
        except OSError:
            continue  # has ended, or has closed the descriptor meanwhile
    return None


class NamedHttpServer(HttpServer):
    """Knows its callers by the address at which they reach it. Accepts connections of the loopback device only."""

    def __init__(self, handler, sources):
        super().__init__(handler)
        self.sources = sources
        self.avoid = set()  # ports of nodes, which may not listen yet
        self.links = {}  # link of each narrow node by the address at which it reaches this server

    async def listen(self, ip, port=0):
        while True:
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, SO_BINDTODEVICE, b"lo\0")
            listener.bind(("", 0))
            if listener.getsockname()[1] not in self.avoid:
                break
            listener.close()
        self.server = await serve_narrow(self.serve, listener, self.links)
        self.address = f"{WORKER_IP}:{listener.getsockname()[1]}"
        return self.address

    async def serve(self, reader, writer):
        reached = writer.get_extra_info("sockname")[0]
        writer.called_by = Caller(self.sources.get(reached, reached))
        writer.called_by.port = writer.get_extra_info("peername")[1]
        inner, peername = writer.get_extra_info, (writer.called_by, 0)
        writer.get_extra_info = lambda name, default=None: \
            peername if name == "peername" else inner(name, default)
        await super().serve(reader, writer)

    def reset(self, caller):
        for writer in list(self.writers):
            if writer.called_by == caller:
                writer.transport.abort()


class GrownWorker(SoakWorker):
    """A worker that nodes reach without a relay: one process plays hundreds."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.http = NamedHttpServer(self.handle, {})
        self.leaves_at = 0.0

    async def start(self, ip="127.0.0.1"):
        self.http.sources = self.sources
        self.address = await self.http.listen(ip)
        self.alive = True
        self.beat = asyncio.create_task(self.heartbeat())

    async def heartbeat(self):
        # Workers that start together would all write at the same moments.
        self.register()
        await asyncio.sleep(self.store.random.uniform(0, BEAT_S))
        await super().heartbeat()

    def register(self):
        if self.store.down or not self.reaches_store:
            return
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": "z1", "version": "v1", "slots": 8,
                 "state": self.state, "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels,
                 "clockMs": self.clock(), "sequence": self.sequence, "born": self.born}
        if self.state == "draining":
            entry["drainRemainingMs"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
        self.store.put("keyed.servers", 0, [(self.id.encode(), dump(entry))])

    async def drain_for(self, serves_s, away_s):
        """Reports that it is draining, serves on, leaves; a worker of another id comes in its place."""
        life, drain_s = self.life, self.drain_s
        self.state, self.leaves_at = "draining", time.monotonic() + drain_s
        self.register()
        await asyncio.sleep(serves_s)
        if self.alive and self.life == life:
            await self.crash(away_s, leaves=True, reborn=self.next_id)


# disturbances


def ready_workers(world, service=None):
    return [worker for worker in world.workers if worker.alive and worker.state == "ready"
            and service in (None, worker.service)]


async def workers_drain_long(world, random, seconds):
    """Workers of all services drain and serve on for many seconds."""
    workers = some(random, ready_workers(world), max(4, len(world.workers) // 12))
    await asyncio.gather(*[worker.drain_for(SERVES_ON_S, 1.0) for worker in workers])


async def release(world, random, seconds):
    """The workers of a service are replaced one after the other, each with a new one first at hand after it."""
    service = random.choice(sorted({worker.service for worker in world.workers}))
    ends = []
    for worker in random.sample(ready_workers(world, service), len(ready_workers(world, service)) // 2):
        if worker.alive and worker.state == "ready":
            ends.append(world.spawn(worker.drain_for(random.uniform(5.0, SERVES_ON_S), 0.5)))
        await asyncio.sleep(0.3)
    if ends:
        await asyncio.wait(ends)


async def large_hosts_killed(world, random, seconds):
    """Some of the large hosts, or all of them, end at once, so that reserves take over, and come back."""
    large = [node for node in world.nodes if node.share >= 0.3] or random.sample(world.nodes, 8)
    with taken(random.sample(large, random.choice([1, 2, 4, len(large)]))) as nodes:
        for node in nodes:
            node.kill()
        await asyncio.sleep(random.choice([0.3, seconds, seconds + 4]))
        for node in nodes:
            node.start()
            await asyncio.sleep(random.uniform(0, 0.5))
        await asyncio.sleep(2.0)


async def large_hosts_away(world, random, seconds):
    """All large hosts are gone for long, and the small ones own the shards meanwhile."""
    with taken([node for node in world.nodes if node.share >= 0.3]) as nodes:
        for node in nodes:
            node.kill()
        await asyncio.sleep(AWAY_S)
        for node in nodes:
            node.start()
        await asyncio.sleep(seconds)


async def hosts_reset(world, random, seconds):
    """All connections of a tenth of the hosts are reset at once."""
    for node in random.sample(world.nodes, max(1, len(world.nodes) // 10)):
        node.touched = max(node.touched, world.now() + 0.1)
        node.store_link.reset()
        for worker in world.workers:
            worker.http.reset(node.ip)
    await asyncio.sleep(seconds)


async def hosts_cut(world, random, seconds):
    """A third of the hosts reach neither the store nor one another for some seconds. What was under way is lost."""
    for node in (nodes := random.sample(world.nodes, max(1, len(world.nodes) // 3))):
        node.touched = max(node.touched, world.now() + seconds)
        node.store_link.silent = "both"
        for relay in node.peer_links.values():
            relay.silent = "both"
    await asyncio.sleep(seconds)
    for node in nodes:
        node.touched = max(node.touched, world.now() + 0.1)
        for relay in (node.store_link, *node.peer_links.values()):
            relay.silent = ""
            relay.reset()
    await asyncio.sleep(CONTACT_S + 6.0)  # so that these hosts are seen in touch


async def lasting_cancelled(world, random, seconds):
    """Jobs with tasks that last, cancelled after some seconds."""
    steps = [{"count": 24, "cpu": 2000, "memMb": 512, "estimateMs": 700, "longRunning": True, "missAllowed": 3,
              "maxPerServer": 2}]
    for _ in range(3):
        world.spawn(world.client(world.new_job("lasting", steps), random.uniform(1, 12)))
    await asyncio.sleep(seconds)


GROWN_FAULTS = [workers_drain_long, release, large_hosts_killed, large_hosts_away, hosts_reset, hosts_cut,
                lasting_cancelled]


# processor shares


class Shares:
    """Gives each process its share of a core, as hosts of that size do. A process of its own does the work, so that
    the soak's lag does not change the shares."""

    def __init__(self, factor):
        self.factor = factor
        self.helper = subprocess.Popen([sys.executable, os.path.abspath(__file__)], stdin=subprocess.PIPE)

    def add(self, pid, share):
        self.helper.stdin.write(b"%d %f\n" % (pid, share * self.factor))
        self.helper.stdin.flush()

    def close(self):
        self.helper.stdin.close()
        self.helper.wait()


def limit_shares():
    """Reads rows of process and share, and stops each process for the rest of a period once its share is used."""
    limited = {}  # pid: [descriptor, share, processor time at the start of the period, stopped]
    period_end, pending = 0.0, b""
    while True:
        if select.select([0], [], [], QUOTA_STEP_S)[0]:
            data = os.read(0, 4096)
            if not data:
                break
            *rows, pending = (pending + data).split(b"\n")
            for pid, share in (row.split() for row in rows):
                try:
                    limited[int(pid)] = [os.pidfd_open(int(pid)), float(share), processor_s(int(pid)), False]
                except OSError:
                    pass  # has ended meanwhile
        now = time.monotonic()
        anew = now >= period_end
        period_end = now + QUOTA_PERIOD_S if anew else period_end
        for pid, row in list(limited.items()):
            try:
                if anew:
                    # What was used beyond the share is taken off the next period, as the kernel does it.
                    row[2] = max(row[2] + row[1] * QUOTA_PERIOD_S, processor_s(pid) - row[1] * QUOTA_PERIOD_S)
                    row[2] = min(row[2], processor_s(pid))
                over = processor_s(pid) - row[2] >= row[1] * QUOTA_PERIOD_S
                if over != row[3]:
                    signal.pidfd_send_signal(row[0], signal.SIGSTOP if over else signal.SIGCONT)
                    row[3] = over
            except OSError:
                os.close(limited.pop(pid)[0])
    for row in limited.values():
        try:
            signal.pidfd_send_signal(row[0], signal.SIGCONT)
        except OSError:
            pass


def processor_s(pid):
    """@return processor time of a process, by its clock as clock_getcpuclockid(3) computes it"""
    return time.clock_gettime((~pid << 3) | 2)


if __name__ == "__main__":
    limit_shares()
