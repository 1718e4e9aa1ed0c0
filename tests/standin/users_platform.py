"""Stand-ins of the users' platform on loopback addresses: store, workers, host service and policy service.

They follow PROTOCOL.md. All of them run in the event loop of the script that uses them.
"""
import asyncio
import base64
import contextlib
import json
import random
import socket
import time
from urllib.parse import parse_qs, unquote, urlsplit


def now_ms():
    return int(time.monotonic() * 1000)


def wall_ms():
    return int(time.time() * 1000)


FIRST_PORT = 10_000
EPHEMERAL_PORT = 32_768  # the kernel takes the ports of connections from here on


GIVEN_PORTS = set()


def free_port(ip):
    """A port that no connection from this address gets before somebody listens on it, and that this script has given to
    nobody else."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, EPHEMERAL_PORT)
        if (ip, port) in GIVEN_PORTS:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            GIVEN_PORTS.add((ip, port))
            return port


class Record:
    """Lines of record.txt, with the time since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


class HttpServer:
    """HTTP/1.1 with Content-Length bodies. `handler(method, path, query, headers, body)` is a coroutine that
    returns (status, bytes), or None to close the connection without an answer. The key `:peer` of `headers` holds the
    IP address of the caller."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.address = ""

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"
        return self.address

    async def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        peer = (writer.get_extra_info("peername") or ("",))[0]
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {":peer": peer}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
                answer = await self.handler(method, unquote(parts.path), query, headers, body)
                if answer is None:
                    break
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


def dump(value):
    return json.dumps(value).encode()


class Partition:
    def __init__(self):
        self.records = []  # (key, value or None), by offset
        self.newest = {}  # key: (value, offset)
        self.producers = {}  # producer: [epoch, sequence, {sequence: answer}]
        self.grown = asyncio.Event()

    @property
    def end(self):
        return len(self.records)


class Store:
    """The platform's log store. `refusal` may return a status with which a call is refused."""

    record_bytes = 262_144
    call_bytes = 2_097_152

    def __init__(self, parts=8, record=None):
        self.parts = parts
        self.record = record
        self.topics = {}
        self.groups = {}
        self.too_large = 0  # appends refused because a record is longer than allowed
        self.refusal = lambda method, path, query: None
        self.http = HttpServer(self.handle)

    def partition(self, topic, part):
        return self.topics.setdefault((topic, part), Partition())

    def put(self, topic, part, records):
        """Appends (key, value) pairs as another writer of the platform does."""
        target = self.partition(topic, part)
        for key, value in records:
            target.records.append((key, value))
            if value is None:
                target.newest.pop(key, None)
            else:
                target.newest[key] = (value, target.end - 1)
        grown, target.grown = target.grown, asyncio.Event()
        grown.set()

    async def handle(self, method, path, query, headers, body):
        refused = self.refusal(method, path, query)
        if refused is not None:
            return refused, b"{}"
        call = path.rsplit("/", 1)[-1]
        if call in ("log-join", "log-leave"):
            return self.group_call(call, json.loads(body))
        if call == "log-owners":
            group = self.groups.setdefault(query["group"], Group(self.parts))
            group.prune()
            return 200, dump({"parts": [[group.topic, part, member, 0] for part, member in
                                        sorted(group.held.items())]})
        topic, part = query["topic"], int(query["part"])
        await asyncio.sleep(0.004)
        if call == "log-append":
            return self.append(topic, part, query, body)
        if call == "log-read":
            return await self.read(topic, part, query)
        if call == "log-newest":
            return self.read_newest(topic, part, query)
        return 404, b"{}"

    def append(self, topic, part, query, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        records = []
        at = 0
        while at < len(body):
            size = int.from_bytes(body[at:at + 4], "big")
            content = body[at + 4:at + 4 + size]
            if size > self.record_bytes or len(content) != size:
                self.too_large += 1
                if self.record and self.too_large <= 3:
                    self.record.write(f"store: {topic}/{part} refuses a record of {size} bytes, at most "
                                      f"{self.record_bytes} are allowed")
                return 400, b"{}"
            key = content[1:1 + content[0]]
            value = content[1 + content[0]:]
            records.append((key, value if value else None))
            at += 4 + size
        if len(body) > self.call_bytes:
            return 400, b"{}"
        target = self.partition(topic, part)
        if "at" in query and int(query["at"]) != target.end:
            return 412, dump({"end": target.end})
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = target.producers.get(query["producer"])
            if state and epoch < state[0]:
                return 409, dump({"reason": "fenced"})
            if state and epoch == state[0]:
                if sequence in state[2]:
                    return 200, state[2][sequence]
                if sequence != state[1] + 1:
                    return 409, dump({"reason": "seq", "sequence": state[1] + 1})
            else:
                state = target.producers[query["producer"]] = [epoch, sequence, {}]
        offset = target.end
        self.put(topic, part, records)
        answer = dump({"offset": offset, "end": target.end})
        if "producer" in query:
            state[1] = sequence
            state[2][sequence] = answer
            for old in sorted(state[2])[:-5]:
                del state[2][old]
        return 200, answer

    async def read(self, topic, part, query):
        target = self.partition(topic, part)
        start = int(query["from"])
        if start >= target.end and int(query.get("waitMs", "0")) > 0:
            try:
                await asyncio.wait_for(target.grown.wait(), int(query["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        most = int(query.get("maxKb", "1024")) << 10
        content = target.end.to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in target.records[start:]:
            record = bytes([len(key)]) + key + (value or b"")
            if len(content) + len(record) > most:
                break
            content += len(record).to_bytes(4, "big") + record
        return 200, content

    def read_newest(self, topic, part, query):
        target = self.partition(topic, part)
        after = query.get("dependsOn", "").encode()
        keys = sorted(key for key in target.newest if key > after)
        items = [{"key": key.decode(), "value": base64.b64encode(target.newest[key][0]).decode(),
                  "offset": target.newest[key][1]} for key in keys[:500]]
        return 200, dump({"items": items, "more": len(keys) > 500, "end": target.end})

    def group_call(self, call, body):
        group = self.groups.setdefault(body["group"], Group(self.parts))
        if call == "log-leave":
            group.remove(body["member"])
            return 200, b"{}"
        group.topic = body["topics"][0]
        parts = group.join(body["member"], body["ttlMs"], body["generation"])
        return 200, dump({"generation": group.generation, "parts": [[group.topic, p, 0] for p in parts]})


    def save(self):
        """@return what the store holds as a JSON value, without the registrations of workers"""
        def text(data):
            return None if data is None else base64.b64encode(data).decode()
        return {"parts": self.parts,
                "topics": [{"topic": topic, "part": part,
                            "records": [[key.decode(), text(value)] for key, value in partition.records],
                            "epochs": {name: state[0] for name, state in partition.producers.items()}}
                           for (topic, part), partition in self.topics.items() if topic != "keyed.servers"],
                "generations": {name: group.generation for name, group in self.groups.items()}}

    def restore(self, saved):
        """Holds what another store held when save() was called."""
        for item in saved["topics"]:
            self.put(item["topic"], item["part"],
                     [(key.encode(), None if value is None else base64.b64decode(value))
                      for key, value in item["records"]])
            for name, epoch in item["epochs"].items():
                self.partition(item["topic"], item["part"]).producers[name] = [epoch, 1 << 40, {}]
        for name, generation in saved["generations"].items():
            self.groups.setdefault(name, Group(self.parts)).generation = generation


class Group:
    """Members of a group and their partitions. A partition changes hands once its holder has joined with the
    generation that takes it away, has left, or has not joined for its time to live."""

    def __init__(self, parts):
        self.parts = parts
        self.topic = ""
        self.generation = 0
        self.members = {}  # member: time until which it is kept
        self.target = {}
        self.held = {}

    def deal(self):
        self.generation += 1
        members = sorted(self.members)
        self.target = {}
        if not members:
            return
        most = -(-self.parts // len(members))
        count = dict.fromkeys(members, 0)
        for part, member in sorted(self.held.items()):
            if member in count and count[member] < most:
                self.target[part] = member
                count[member] += 1
        for part in range(self.parts):
            if part not in self.target:
                member = min(members, key=lambda name: count[name])
                self.target[part] = member
                count[member] += 1

    def drop(self, member):
        self.members.pop(member, None)
        self.held = {part: name for part, name in self.held.items() if name != member}

    def pause(self, ms):
        """The times of the members pause while the store is down."""
        for member in self.members:
            self.members[member] += ms

    def prune(self):
        gone = [member for member, until in self.members.items() if until < now_ms()]
        for member in gone:
            self.drop(member)
        if gone:
            self.deal()

    def remove(self, member):
        if member in self.members:
            self.drop(member)
            self.deal()

    def join(self, member, ttl_ms, generation):
        self.prune()
        known = member in self.members
        self.members[member] = now_ms() + ttl_ms
        if not known:
            self.deal()
        if generation >= self.generation:
            self.held = {part: name for part, name in self.held.items()
                         if name != member or self.target.get(part) == member}
        for part, name in self.target.items():
            if name == member and part not in self.held:
                self.held[part] = member
        return sorted(part for part, name in self.held.items()
                      if name == member and self.target.get(part) == member)


class Worker:
    """A worker that guards its capacity. `duration_s(task)` tells how long a task runs."""

    def __init__(self, record, worker_id, service, store, duration_s, cpu=16_000, memory_mb=65_536,
                 rack="r1-1", stop_s=0.05, hold_max_ms=6_000):
        self.record = record
        self.id = worker_id
        self.service = service
        self.store = store
        self.duration_s = duration_s
        self.capacity = {"cpu": cpu, "memMb": memory_mb, "gpu": 0}
        self.labels = ["a", rack]
        self.stop_s = stop_s
        self.hold_max_ms = hold_max_ms
        self.born = wall_ms()
        self.clock_start = now_ms()
        self.clock_rate = 1.0  # below 1 for a clock that is slow
        self.token = 0
        self.lease_until = 0
        self.running = {}  # task: [run, end handle, started, cpu, memory]
        self.highest_ended = {}
        self.ends = []  # (number, task, run, how, saved)
        self.number = 0
        self.acknowledged = 0
        self.changed = asyncio.Event()
        self.state = "ready"
        self.sequence = 0
        self.beat = None
        self.lease_timer = None
        self.healing = None
        self.needs = lambda task: (1, 1)
        self.ticket_of = lambda task: None
        self.saved_of = lambda task: ""  # checkpoint of a running task
        self.on_start = lambda worker, task, run: None
        self.on_end = lambda worker, task, run, how: None
        self.on_acknowledged = lambda worker, task, run, how: None
        self.http = HttpServer(self.handle)

    def clock(self):
        return int((now_ms() - self.clock_start) * self.clock_rate)

    async def start(self, ip="127.0.0.1"):
        self.address = await self.http.listen(ip)
        self.beat = asyncio.create_task(self.heartbeat())

    async def heartbeat(self):
        while True:
            self.register()
            await asyncio.sleep(1.5)

    def register(self):
        self.sequence += 1
        self.store.put("keyed.servers", 0, [(self.id.encode(), dump({
            "service": self.service, "address": self.address, "zone": "z1", "version": "v1", "slots": 8,
            "state": self.state, "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels,
            "clockMs": self.clock(), "sequence": self.sequence, "born": self.born}))])

    async def leave(self):
        """Ends the worker after a planned shutdown; its entry is removed."""
        self.beat.cancel()
        for task in list(self.running):
            self.end(task, "lapsed", report=False)
        await self.http.close()
        self.store.put("keyed.servers", 0, [(self.id.encode(), None)])

    async def cut(self, seconds):
        """Cuts the worker off: open connections are reset, new ones are refused. It runs on."""
        ip, port = self.address.rsplit(":", 1)
        self.beat.cancel()
        await self.http.close()

        async def heal():
            await asyncio.sleep(seconds)
            await self.http.listen(ip, int(port))
            self.beat = asyncio.create_task(self.heartbeat())
            self.record.write(f"worker {self.id} is reachable again")

        self.healing = asyncio.create_task(heal())

    def end(self, task, how, report=True):
        run, handle = self.running[task][:2]
        saved = "" if how == "done" else self.saved_of(task)
        if handle:
            handle.cancel()
        del self.running[task]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        if report:
            self.number += 1
            self.ends.append([self.number, task, run, how, saved])
            changed, self.changed = self.changed, asyncio.Event()
            changed.set()
        self.record.write(f"worker {self.id}: {task} run {run} ended {how}")
        self.on_end(self, task, run, how)

    def extend(self, until):
        if until is None:
            return
        self.lease_until = max(self.lease_until, min(until, self.clock() + self.hold_max_ms))
        self.arm_lease()

    def arm_lease(self):
        if self.lease_timer:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            max(self.lease_until - self.clock(), 1) / 1000 / self.clock_rate, self.check_lease)

    def check_lease(self):
        if self.clock() < self.lease_until:
            self.arm_lease()
            return
        for task in list(self.running):
            self.end(task, "lapsed")

    async def handle(self, method, path, query, headers, body):
        order = json.loads(body) if body else {}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, dump({"clockMs": self.clock()})
        token = order.get("fencingToken", 0)
        if token < self.token:
            return 409, dump({"clockMs": self.clock(), "reason": "fence"})
        self.token = token
        call = path.rsplit("/", 1)[-1]
        if call == "run-start":
            return self.run_start(order)
        if call == "run-stop":
            return self.run_stop(order)
        if call == "hold":
            return await self.hold(order)
        if call == "pace":
            return 200, dump({"clockMs": self.clock()})
        return 404, b"{}"

    def refuse(self, order, reason):
        self.record.write(f"worker {self.id}: start of {order['task']} run {order['runId']} refused: {reason}")
        return 409, dump({"clockMs": self.clock(), "reason": reason})

    def run_start(self, order):
        task, run = order["task"], order["runId"]
        if task in self.running and self.running[task][0] == run:
            return 200, dump({"clockMs": self.clock()})
        if order["untilMs"] <= self.clock():
            return self.refuse(order, "late")
        ticket = self.ticket_of(task)
        if ticket is not None and order.get("ticket") != ticket:
            return self.refuse(order, "ticket")
        self.extend(order["untilMs"])
        if run <= self.highest_ended.get(task, 0) or task in self.running:
            return self.refuse(order, "old")
        cpu, memory = self.needs(task)
        if (sum(item[3] for item in self.running.values()) + cpu > self.capacity["cpu"] or
                sum(item[4] for item in self.running.values()) + memory > self.capacity["memMb"]):
            return self.refuse(order, "room")
        self.record.write(f"worker {self.id}: {task} run {run} started")
        duration = self.duration_s(task)
        handle = None
        if duration is not None:
            handle = asyncio.get_running_loop().call_later(duration, self.end, task, "done")
        self.running[task] = [run, handle, now_ms(), cpu, memory]
        self.on_start(self, task, run)
        return 200, dump({"clockMs": self.clock()})

    def run_stop(self, order):
        task, run = order["task"], order["runId"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        if task in self.running and self.running[task][0] == run:
            asyncio.get_running_loop().call_later(self.stop_s, self.stopped, task, run)
        return 200, dump({"clockMs": self.clock()})

    def stopped(self, task, run):
        if task in self.running and self.running[task][0] == run:
            self.end(task, "stopped")

    async def hold(self, order):
        cursor = order.get("ackCursor", 0)
        for number, task, run, how, _ in self.ends:
            if number <= cursor and number > self.acknowledged:
                self.on_acknowledged(self, task, run, how)
        self.acknowledged = max(self.acknowledged, cursor)
        self.ends = [end for end in self.ends if end[0] > cursor]
        self.extend(order.get("untilMs"))
        if order.get("waitMs") and not self.ends:
            try:
                await asyncio.wait_for(self.changed.wait(), order["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, item[0], self.saved_of(task), 100 if item[1] is None else 50, 1]
                   for task, item in self.running.items()]
        return 200, dump({"clockMs": self.clock(), "born": self.born, "running": running,
                          "finished": self.ends[:500]})


    def save(self):
        """@return what the worker knows now, as a JSON value"""
        return {"id": self.id, "service": self.service, "born": self.born, "token": self.token,
                "running": [[task, item[0]] for task, item in self.running.items()],
                "highest_ended": dict(self.highest_ended), "ends": list(self.ends), "number": self.number}

    def restore(self, saved):
        """Goes on with what save() returned; each task runs for its whole time once more, under a new lease."""
        self.born, self.token, self.number = saved["born"], saved["token"], saved["number"]
        self.highest_ended, self.ends = saved["highest_ended"], saved["ends"]
        for task, run in saved["running"]:
            cpu, memory = self.needs(task)
            duration = self.duration_s(task)
            handle = None if duration is None else asyncio.get_running_loop().call_later(duration, self.end, task,
                                                                                         "done")
            self.running[task] = [run, handle, now_ms(), cpu, memory]
        self.extend(self.clock() + self.hold_max_ms)


class HostService:
    """The calls for machines. `machines` maps a name to its row; `on_order(call, order, headers)` sees each
    order and returns the answer."""

    def __init__(self, record):
        self.record = record
        self.machines = {}
        self.list_delay_s = 0.0
        self.on_list = lambda: None
        self.on_order = lambda call, order, headers: (409, {"reason": "busy"})
        self.http = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        call = path.rsplit("/", 1)[-1]
        if call == "machines":
            self.on_list()
            rows = list(self.machines.values())
            if self.list_delay_s:
                await asyncio.sleep(self.list_delay_s)
            return 200, dump({"machines": rows, "nextToken": ""})
        status, answer = self.on_order(call, json.loads(body), headers)
        return status, dump(answer)


class PolicyService:
    """Answers which workers may run a step, with a ticket for each."""

    def __init__(self, record, allows, extra=None):
        self.record = record
        self.allows = allows
        self.extra = extra or {}
        self.asked = {}
        self.http = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        order = json.loads(body)
        rows = [[worker, f"t-{order['step']}-{worker}"] for worker in order["workers"] if self.allows(worker)]
        count = self.asked[order["step"]] = self.asked.get(order["step"], 0) + 1
        if count <= 3 or count % 20 == 0:
            self.record.write(f"policy service: call {count} for step {order['step']}, workers "
                              f"{order['workers']}, allowed {[row[0] for row in rows]}")
        await asyncio.sleep(0.01)
        return 200, dump({"allowedWorkers": rows, **self.extra})


async def call(address, method, path, headers=None, body=None, timeout_s=3.0):
    """One HTTP call on a connection of its own. Returns (status, object); status 0 without an answer."""
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            content = dump(body) if body is not None else b""
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in (headers or {}).items())
            writer.write(f"{head}Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
                         "Connection: close\r\n\r\n".encode() + content)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            content = await reader.read()
            try:
                return status, json.loads(content)
            except ValueError:
                return status, None
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer:
            writer.close()
