"""The users' platform with faults: the stand-ins of tests/standin, a store that misbehaves for some or all nodes,
workers that crash and return, and a relay that harms connections."""
import asyncio
import base64
import json
import math
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "standin"))
from users_platform import HttpServer, Store, Worker, dump, now_ms, wall_ms  # noqa: E402

BEAT_S = 1.5
SILENCE_S = 10.0
LAPSE_S = 3 * BEAT_S  # a worker that sends nothing for this long loses its entry
HELD_CHECK_S = 0.02
UNANSWERED_S = 4.0  # a connection without an answer stays open for this long
CHECKPOINT_S = 2.0  # checkpointS
SALT = os.getpid() % 250 + 1  # keeps the addresses of soaks that run at the same time apart
WORKER_IP = f"127.128.{SALT}.1"


class Pipe(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self, relay, other=None, source=None):
        self.relay = relay
        self.other = other
        self.source = source  # address from which the target sees this connection come
        self.transport = None
        self.waiting = []  # bytes that arrived before the other side was connected
        self.queue = []  # what is held: bytes, and None for the end of the connection
        self.direction = "back" if other else "forth"
        self.mute = False  # silent for good, whatever the relay does later
        self.kept = False  # held, whatever the relay does with other connections
        self.due = 0.0

    def connection_made(self, transport):
        self.transport = transport
        self.relay.pipes.add(self)
        if not self.other:
            asyncio.ensure_future(self.connect())

    async def connect(self):
        # A connection that is opened during a cut is established when it heals. Nothing of it arrives if the sender
        # has ended before.
        while self.relay.holds(self.source):
            await asyncio.sleep(HELD_CHECK_S)
        if self.transport.is_closing():
            return
        ip, port = self.relay.target.rsplit(":", 1)
        try:
            _, self.other = await asyncio.get_running_loop().create_connection(
                lambda: type(self)(self.relay, self, self.source), ip, int(port),
                local_addr=self.source and (self.source, 0))
        except OSError:
            self.transport.abort()
            return
        if self.transport.is_closing():
            self.other.transport.abort()
            return
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            self.data_received(data)

    def held(self):
        return self.kept or self.relay.holds(self.source, self.direction)

    def data_received(self, data):
        if not self.other:
            self.waiting.append(data)
            return
        if self.mute or self.relay.silent in (self.direction, "both"):
            self.mute = True  # a lost byte cannot be made up for by later ones
            return
        self.take(data)

    def take(self, data):
        """Passes bytes on, or None for the end; after what is held, if something is."""
        if self.queue or self.held():
            self.queue.append(data)
            self.relay.holding.add(self)
            return
        loop = asyncio.get_running_loop()
        # The loop keeps no order among calls at the same time.
        self.due = max(math.nextafter(self.due, math.inf), loop.time() + self.relay.delay_s)
        if self.due > loop.time():
            loop.call_at(self.due, self.pass_on, data)
        else:
            self.pass_on(data)

    def release(self):
        """Passes on what was held, also if the sender has ended since."""
        if self.held():
            return
        self.relay.holding.discard(self)
        queue, self.queue = self.queue, []
        for data in queue:
            self.take(data)

    def pass_on(self, data):
        if data is None:
            self.other.transport.close()
        elif not self.other.transport.is_closing():
            self.other.transport.write(data)

    def connection_lost(self, _):
        self.relay.pipes.discard(self)
        if not self.other or not self.other.transport:
            return
        if self.mute:
            # The end of a silent connection is not seen for long.
            asyncio.get_running_loop().call_later(SILENCE_S, self.other.transport.close)
        else:
            self.take(None)


class Relay:
    """Passes connections on to `target`, with delay, silence in one or both directions, or resets. Silence loses the
    bytes; a link that is held delivers them when it heals, as retransmission does after a cut."""

    pipe = Pipe  # one side of each connection

    def __init__(self, target=""):
        self.target = target
        self.delay_s = 0.0
        self.silent = ""  # "forth", "back" or "both"
        self.hold = ""  # the same
        self.hold_sources = None  # only connections from these addresses are held; None: all
        self.pipes = set()
        self.holding = set()  # pipes with something in their queues, also of senders that have ended
        self.servers = []
        self.address = ""

    async def listen(self, ip, port=0, source=None):
        """Listens on one more address; may be called several times.
        @param source the address from which the target sees connections to this one come"""
        server = await asyncio.get_running_loop().create_server(lambda: self.pipe(self, source=source), ip, port)
        self.servers.append(server)
        self.address = self.address or f"{ip}:{server.sockets[0].getsockname()[1]}"
        return self.address

    def reset(self):
        for pipe in list(self.pipes):
            pipe.transport.abort()

    def mute_open(self):
        """Open connections go silent for good; new ones work."""
        for pipe in list(self.pipes):
            pipe.mute = True

    def holds(self, source, direction=""):
        """@return whether bytes of connections from `source` are held, in any direction if none is named"""
        return self.hold and (not direction or self.hold in (direction, "both")) and \
            (self.hold_sources is None or source in self.hold_sources)

    def hold_open(self, sources=None):
        """Holds the bytes of the open connections, and not those of new ones. @return their pipes, for let_go()"""
        pipes = [pipe for pipe in self.pipes if sources is None or pipe.source in sources]
        for pipe in pipes:
            pipe.kept = True
        return pipes

    def heal(self):
        """Ends `hold`."""
        self.hold, self.hold_sources = "", None
        for pipe in list(self.holding):
            pipe.release()


def let_go(pipes):
    """Ends what Relay.hold_open() began."""
    for pipe in pipes:
        pipe.kept = False
        pipe.release()


async def no_answer(random):
    """The connection ends at once or stays silent for longer than the nodes wait."""
    await asyncio.sleep(random.choice([0.0, UNANSWERED_S]))


def is_text(key):
    try:
        return bool(key.decode())
    except UnicodeDecodeError:
        return False


class SoakStore(Store):
    """The store, with one front per node, so that it can treat nodes differently."""

    def __init__(self):
        super().__init__()
        self.first = {}  # (topic, part): first offset that is kept
        self.down = False
        self.delay_s = 0.0
        self.lost_share = 0.0  # share of the calls whose answers are lost
        self.treatment = {}  # node number: "503", "429", "reset" or "silent"
        self.parts_away = {}  # partition: "503", "reset" or "silent", for all nodes
        self.late_share = 0.0  # share of the writes that get no answer and are carried out 1 to 6 s later
        self.random = None
        self.fronts = []

    async def add_front(self, number, rewrite_out, rewrite_in):
        async def serve(method, path, query, headers, body):
            return await self.serve(number, method, path, query, headers, rewrite_in(body))

        async def handler(method, path, *call):
            answer = await serve(method, path, *call)
            if answer and path.endswith("log-newest") and answer[0] == 200:
                answer = 200, rewrite_items(answer[1], rewrite_out)
            return answer and (answer[0], rewrite_out(answer[1]))

        front = HttpServer(handler)
        self.fronts.append(front)
        return await front.listen("127.0.0.1")

    def treatment_of(self, number, query):
        """@return how a call of a node is treated now, None for as usual"""
        if self.down:
            return "silent"
        # The operator's topic stays, as its writes go past the fronts.
        part = int(query["part"]) if query.get("topic", "keyed.op") != "keyed.op" else None
        return self.treatment.get(number) or self.parts_away.get(part)

    async def serve(self, number, method, path, query, headers, body):
        treatment = self.treatment_of(number, query)
        if treatment == "silent":
            while self.treatment_of(number, query) == "silent":
                await asyncio.sleep(0.1)
            return None
        if treatment == "reset":
            return None
        if treatment:
            return int(treatment), b"{}"
        if self.delay_s:
            await asyncio.sleep(self.delay_s * self.random.uniform(0.5, 1.5))
        if method == "POST" and self.random.random() < self.late_share:
            asyncio.get_running_loop().call_later(self.random.uniform(1, 6), lambda: asyncio.ensure_future(
                self.handle(method, path, {"group": "", **query}, headers, body)))
            return await no_answer(self.random)
        lost = self.random.random() < self.lost_share
        answer = await self.handle(method, path, {"group": "", **query}, headers, body)
        return await no_answer(self.random) if lost else answer

    def append(self, topic, part, query, body):
        end = self.partition(topic, part).end
        if "at" in query and int(query["at"]) != end:
            return 412, dump({"end": end})
        return super().append(topic, part, query, body)

    async def read(self, topic, part, query):
        first = self.first.get((topic, part), 0)
        if int(query["from"]) < first:
            return 410, dump({"first": first})
        status, content = await super().read(topic, part, query)
        return status, content[:8] + first.to_bytes(8, "big") + content[16:]

    def read_newest(self, topic, part, query):
        """Keys are text in this call; bytes that are none are left out of the page."""
        target = self.partition(topic, part)
        odd = {key: target.newest.pop(key) for key in list(target.newest) if not is_text(key)}
        try:
            return super().read_newest(topic, part, query)
        finally:
            target.newest.update(odd)

    def drop_history(self):
        for place, partition in self.topics.items():
            self.first[place] = partition.end

    def deal_anew(self):
        for group in self.groups.values():
            members = sorted(group.members)
            group.generation += 1
            shift = self.random.randrange(len(members) or 1)
            group.target = {part: members[(part + shift) % len(members)] for part in range(group.parts)} \
                if members else {}

    def deal_at_once(self):
        """All partitions change hands before their holders have joined and learned of it."""
        self.deal_anew()
        for group in self.groups.values():
            group.held = dict(group.target)

    def revoke(self, addresses):
        """Ends memberships, as the store does for members whose time has passed; no answer tells them."""
        for group in self.groups.values():
            for member in [member for member in group.members if member.split("/")[0] in addresses]:
                group.remove(member)


def rewrite_items(content, rewrite):
    """As `rewrite` for a page of newest records, whose values are in base64."""
    page = json.loads(content)
    for item in page["items"]:
        item["value"] = base64.b64encode(rewrite(base64.b64decode(item["value"]))).decode()
    return dump(page)


class SoakWorker(Worker):
    """A worker behind a relay that can crash and return under its id. `notice(event, **fields)` records what it
    sees; `tasks` knows how each task behaves."""

    def __init__(self, quiet, worker_id, service, store, tasks, notice, rack, **options):
        super().__init__(quiet, worker_id, service, store, self.run_time, rack=rack, **options)
        self.tasks = tasks
        self.notice = notice
        self.relay = Relay()
        self.sources = {}  # IP address on which a node reaches this worker: address of the node
        self.slowness = 1.0
        self.late_share = 0.0  # share of starts, stops and holds without an answer, carried out 2 to 12 s later
        self.lost_share = 0.0  # share of them that are carried out without an answer
        self.fails_all = False
        self.idle_lapses = True  # a lease that runs out while nothing runs counts as lapsed
        self.reaches_store = True  # else it does not register, and its entry lapses
        self.alive = False
        self.back = None  # set while the worker starts again in place
        self.silent = ""  # "forth": calls are lost, "back": they are carried out and their answers lost, "both"
        self.order = {}  # the one that is being carried out
        self.sender = ""  # IP address of its sender
        self.progress = {}  # task: (time of start, seconds of work that its checkpoint had)
        self.needs = tasks.needs
        self.saved_of = self.checkpoint
        self.on_start = self.started
        self.on_end = self.ended
        self.on_acknowledged = lambda worker, task, run, how: notice("ack", task=task, run=run, worker=self.life,
                                                                     node=self.caller())

    @property
    def life(self):
        return f"{self.id}/{self.born}"

    async def start(self, ip="127.0.0.1"):
        self.relay.target = await self.http.listen(ip)
        if not self.relay.address:
            port = int((await self.relay.listen(WORKER_IP)).rsplit(":", 1)[1])
            for seen_as, source in self.sources.items():
                await self.relay.listen(seen_as, port, source)
        self.address = self.relay.address
        self.alive = True
        self.beat = asyncio.create_task(self.heartbeat())

    def register(self):
        if self.reaches_store and not self.store.down:
            super().register()

    def cut_from_store(self):
        """Registers no more until `reaches_store` is set again."""
        self.reaches_store = False
        # The last heartbeat came up to one interval before.
        lapse_s = LAPSE_S - self.store.random.uniform(0, BEAT_S)
        asyncio.get_running_loop().call_later(lapse_s, self.lapse_entry, self.life)

    def lapse_entry(self, life):
        if self.life == life and not self.reaches_store:
            self.store.put("keyed.servers", 0, [(self.id.encode(), None)])

    async def handle(self, method, path, query, headers, body):
        if self.silent in ("forth", "both"):
            return await no_answer(self.store.random)
        if self.back:
            await self.back.wait()  # the next life takes the call
        if not self.alive:
            return None  # a connection that was accepted in the moment of the crash
        life = self.life
        answer = await self.take(method, path, query, headers, body)
        if self.silent:
            return await no_answer(self.store.random)
        # A poll that waited in a process that has ended gets no answer from the next one.
        return answer if self.life == life else None

    async def take(self, method, path, query, headers, body):
        async def carry_out():
            # Nothing else runs between here and the start or stop.
            self.order, self.sender = json.loads(body) if body else {}, headers[":peer"]
            return await super(SoakWorker, self).handle(method, path, query, headers, body)

        if not path.endswith(("run-start", "run-stop", "hold")):
            return await carry_out()
        if self.store.random.random() < self.late_share:
            self.later(self.store.random.uniform(2, 12), carry_out)
            return await no_answer(self.store.random)
        lost = self.store.random.random() < self.lost_share
        answer = await carry_out()
        return await no_answer(self.store.random) if lost else answer

    def caller(self):
        return self.tasks.node_names.get(self.sender, self.sender)

    def later(self, seconds, carry_out):
        life = self.life

        async def one():
            if self.alive and self.life == life:
                await carry_out()

        asyncio.get_running_loop().call_later(seconds, lambda: asyncio.ensure_future(one()))

    def run_time(self, task):
        seconds = self.tasks.run_time(task)
        if seconds is None or self.tasks.gang_size(task):
            return None
        saved_s = self.tasks.checkpoints.get(self.order.get("checkpoint", ""), (task, 0.0))[1]
        self.progress[task] = now_ms() / 1000, saved_s
        return max(0.0, seconds - saved_s) * self.slowness

    def checkpoint(self, task):
        """The newest checkpoint of a running task, one each CHECKPOINT_S of work."""
        if task not in self.progress or not self.tasks.has_checkpoints(task):
            return ""
        begin, saved_s = self.progress[task]
        steps = int((now_ms() / 1000 - begin) / self.slowness / CHECKPOINT_S)
        if not steps:
            return self.tasks.checkpoint_at(task, saved_s) if saved_s else ""
        return self.tasks.checkpoint_at(task, saved_s + steps * CHECKPOINT_S)

    def started(self, _, task, run):
        checkpoint = self.order.get("checkpoint", "")
        self.notice("start", task=task, run=run, worker=self.life, service=self.service,
                    node=self.caller(), token=self.order.get("fencingToken", 0),
                    checkpoint=checkpoint, known=not checkpoint or checkpoint in self.tasks.checkpoints and
                    self.tasks.checkpoints[checkpoint][0] == task)
        self.tasks.gangs.joins(self, task, run)
        if self.tasks.crashes(task):
            asyncio.get_running_loop().call_later(0.05, lambda: asyncio.ensure_future(self.crash(2.0)))

    def ended(self, _, task, run, how):
        self.notice("end", task=task, run=run, worker=self.life, how=how)
        self.tasks.gangs.leaves(self, task, run)

    def end(self, task, how, report=True):
        if how == "done" and (self.fails_all or self.tasks.fails(task)):
            how = "failed"
        super().end(task, how, report)

    def check_lease(self):
        if self.clock() >= self.lease_until:
            voids = self.idle_lapses or self.running
            self.notice("lapse" if voids else "idle_lapse", worker=self.life)
        super().check_lease()

    async def crash(self, away_s, leaves=False, reborn=lambda: None):
        """Ends at once; returns with a new life after `away_s`, under the same id or as `reborn` makes it."""
        if not self.alive:
            return
        self.end_life()
        await self.http.close()
        old = self.id, self.born

        def drop_entry():
            if self.id != old[0] or (not self.alive and self.born == old[1]):
                self.store.put("keyed.servers", 0, [(old[0].encode(), None)])

        if leaves:
            drop_entry()
        else:
            asyncio.get_running_loop().call_later(LAPSE_S, drop_entry)
        await asyncio.sleep(away_s)
        reborn()
        self.begin_life()
        await self.start()

    async def restart_in_place(self, away_s):
        """Ends and returns under its id. Calls that arrive in between reach the next life, whichever they were meant
        for."""
        if not self.alive:
            return
        self.back = asyncio.Event()
        self.end_life()
        await asyncio.sleep(away_s)
        self.begin_life()
        self.alive = True
        self.beat = asyncio.create_task(self.heartbeat())
        self.back.set()
        self.back = None

    def end_life(self):
        self.alive = False
        self.beat.cancel()
        ended = list(self.running.items())
        self.running.clear()
        for task, (run, handle, *_) in ended:
            if handle:
                handle.cancel()
            self.tasks.gangs.leaves(self, task, run)
        self.notice("crash", worker=self.life)
        if self.lease_timer:
            self.lease_timer.cancel()

    def begin_life(self):
        self.token = self.lease_until = self.number = self.acknowledged = self.sequence = 0
        self.highest_ended, self.ends, self.running, self.progress = {}, [], {}, {}
        self.born, self.clock_start, self.state = wall_ms(), now_ms(), "ready"

    def next_id(self):
        """Makes the next life a worker of another id on the same machine."""
        base, _, number = self.id.partition("+")
        self.id = f"{base}+{int(number or 0) + 1}"

    async def drain(self):
        """Reports that it is draining, works on for a while, leaves, and returns later."""
        self.state = "draining"
        self.register()
        await asyncio.sleep(3.0)
        await self.crash(4.0, leaves=True)


def host_rows(workers, machine):
    return {worker.id: {"machine": machine(worker), "pool": worker.service,
                        "state": "up" if worker.alive else "down", "zone": "obihiro",
                        "labels": worker.labels, "capacity": worker.capacity,
                        "id": worker.id if worker.alive else ""} for worker in workers}


def odd_values(random):
    """Values that other writers have left: fields missing or of another type, unreadable bytes."""
    entry = {"service": "lineplan", "address": "127.0.0.1:9", "zone": "obihiro", "version": "v1", "slots": 8,
             "state": "ready", "coldLeftMs": 0, "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
             "labels": ["a", "r"], "clockMs": 1, "sequence": 1, "born": wall_ms()}
    other = [None, True, -1, 1e300, "x", [], {}, [[None]], {"a": {}}, 2 ** 63, "\u0000", "nowhere.example:80", ":"]
    field = random.choice(sorted(entry))
    return random.choice([
        b"\x00", b"\xff\xfe{", b"{", b"[]", b"null", b"\"x\"", b"1e999", b"{}",
        dump({**entry, field: random.choice(other)}), dump({**entry, field: random.choice(other)}),
        dump({key: value for key, value in entry.items() if key != field}),
        b'{"a":' * 300 + b"1" + b"}" * 300, json.dumps({**entry, "zone": "\ud800"}).encode()])
