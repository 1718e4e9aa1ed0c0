"""A cluster of real processes on loopback: stand-ins of the platform and workers, entry nodes, and callers.
Collects the records that the checker needs."""
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import threading
import time

import cbor2

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
EXAMPLE = os.path.join(REPOSITORY, "examples", "tokachi")
NODES = ("entry-1", "entry-2", "entry-3")
DRAIN_NOTICE_MS = 2_000     # drain_notice_ms of the nodes
REQUEST_TIMEOUT_MS = 8_000  # request_timeout_ms of the nodes
CALLER_TIMEOUT_S = 40       # longer than any answer takes, even from a paused node
RELAYED_WORKERS = 8         # workers that the nodes reach through the relay


def now():
    return int(time.time() * 1000)


def call(address, method, path, body="", timeout=10):
    """Makes one HTTP call and returns status and body. Raises OSError or http.client.HTTPException."""
    link = http.client.HTTPConnection(address, timeout=timeout)
    try:
        link.request(method, path, body.encode() if isinstance(body, str) else body)
        answer = link.getresponse()
        return answer.status, answer.read()
    finally:
        link.close()


def wait_until(seconds, condition):
    limit = time.monotonic() + seconds
    while time.monotonic() < limit:
        if condition():
            return True
        time.sleep(0.05)
    return False


class Cluster:
    def __init__(self, binaries, work, seed):
        self.bin, self.work = binaries, work
        self.processes, self.addresses, self.started_at = {}, {}, {}
        self.events, self.callers, self.samples = [], [], []
        self.healthy, self.lock = {}, threading.Lock()
        self.stopping = threading.Event()
        self.threads = []
        self.random = random.Random(f"cluster {seed}")
        self.versions = {"inventory": 0, "rules": 0}

    # Processes

    def start(self, name, *command):
        with open(os.path.join(self.work, name + ".out"), "ab") as out:
            self.processes[name] = subprocess.Popen(command, stdout=out, stderr=out)

    def start_standin(self, name, *arguments):
        file = os.path.join(self.work, name + ".port")
        self.start(name, f"{self.bin}/waxwingnotch-standin", *arguments, f"--port-file={file}")

    def wait_for_port(self, name):
        file = os.path.join(self.work, name + ".port")
        if not wait_until(30, lambda: os.path.exists(file)):
            raise RuntimeError(f"{name} did not write its port file within 30 s")
        with open(file, encoding="utf-8") as text:
            self.addresses[name] = "127.0.0.1:" + text.read().split()[0]

    def add_link(self, name, target):
        return "127.0.0.1:" + call(self.addresses["relay"], "POST", "/links/" + name, target)[1].decode()

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def start_all(self):
        self.start_standin("log", "log")
        self.start_standin("hosts", "hosts")
        self.start_standin("relay", "relay")
        with open(os.path.join(EXAMPLE, "inventory.toml"), encoding="utf-8") as text:
            inventory = text.read()
        self.workers = re.findall(r'\[\[host\]\]\nname = "([^"]+)"', inventory)
        for host in self.workers:
            self.start_standin(host, "worker", "--host=" + host)
        for name in ["log", "hosts", "relay", *self.workers]:
            self.wait_for_port(name)
        self.relayed_workers = sorted(self.random.sample(self.workers, RELAYED_WORKERS))
        for host in self.workers:
            address = self.addresses[host]
            if host in self.relayed_workers:
                address = self.add_link(host, address)
            inventory = re.sub(rf'(name = "{host}"\naddress = ")[^"]*', rf"\g<1>{address}", inventory)
            call(self.addresses["hosts"], "POST", f"/hosts/{host}/register", address)
        self.inventory = inventory
        self.pools = dict(re.findall(r'\[\[host\]\]\nname = "([^"]+)"[^\[]*?\npool = "([^"]+)"', inventory))
        with open(os.path.join(EXAMPLE, "rules.toml"), encoding="utf-8") as text:
            self.rules = text.read()
        self.services = re.findall(r'\[\[service\]\]\nname = "([^"]+)"', self.rules)
        ports = subprocess.run([f"{self.bin}/waxwingnotch-standin", "ports", "6"], check=True,
                               capture_output=True, text=True).stdout.split()
        peers = {}
        for index, node in enumerate(NODES):
            self.addresses[node] = "127.0.0.1:" + ports[2 * index]
            peers[node] = "127.0.0.1:" + ports[2 * index + 1]
        for index, node in enumerate(NODES):
            log = self.add_link(f"{node}>log", self.addresses["log"])
            text = (f'[node]\nid = "{node}"\ndata_centre = "dc-{index}"\n'
                    f'[listen]\naddress = "{self.addresses[node]}"\npeer_address = "{peers[node]}"\n'
                    f'[platform]\nlog = "{log}"\nhosts = "{self.addresses["hosts"]}"\n'
                    f"[limits]\ndrain_notice_ms = {DRAIN_NOTICE_MS}\nrequest_timeout_ms = {REQUEST_TIMEOUT_MS}\n"
                    f'[log]\nfile = "{self.work}/{node}.log"\n')
            for other in NODES:
                if other != node:
                    address = self.add_link(f"{node}>{other}", peers[other])
                    text += f'[[peer]]\nid = "{other}"\naddress = "{address}"\n'
            with open(os.path.join(self.work, node + ".toml"), "w", encoding="utf-8") as file:
                file.write(text)
            self.start_node(node)
        if self.publish("inventory", self.inventory) != 0 or self.publish("rules", self.rules) != 0:
            raise RuntimeError("publishing the initial inventory or rules failed")
        for node in NODES:
            self.poll_status(node)
        if not wait_until(60, lambda: all(self.healthy.get(n) for n in NODES)):
            ended = {name: item.poll() for name, item in self.processes.items() if item.poll() is not None}
            raise RuntimeError(f"not all entry nodes were serving within 60 s: serving {self.healthy}, "
                               f"exit codes {ended}")

    def start_node(self, node):
        self.started_at[node] = now()
        self.start(node, f"{self.bin}/waxwingnotch", "serve", f"--settings={self.work}/{node}.toml")

    def stop_all(self):
        self.stopping.set()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    # Operators

    def publish(self, kind, text, replaces=None, author="operator"):
        with self.lock:
            file_path = os.path.join(self.work, f"draft-{len(os.listdir(self.work))}-{author}.toml")
            with open(file_path, "w", encoding="utf-8") as file:
                file.write(text)
        replaces = self.versions[kind] if replaces is None else replaces
        result = subprocess.run([f"{self.bin}/waxwingnotch", "publish", f"--{kind}={file_path}",
                                 "--log=" + self.addresses["log"], "--author=" + author,
                                 f"--replaces={replaces}"], capture_output=True, text=True, check=False)
        if result.returncode == 0:
            self.versions[kind] = replaces + 1
        return result.returncode

    def append_batch(self, writer, records):
        """Appends records directly to the log, as a controller with a stale state would."""
        batch = {"w": f"{writer}:{now()}", "i": now(), "s": 1, "o": len(self.archive()), "r": records}

        def appended():
            # The fold drops a repeated append after a lost answer: writer, incarnation and seq are the same.
            try:
                return call(self.addresses["log"], "POST", "/log/records", cbor2.dumps(batch))[0] == 200
            except (OSError, http.client.HTTPException):
                return False
        if not wait_until(60, appended):
            raise RuntimeError(f"the log did not acknowledge a batch of {writer} within 60 s")

    def archive(self):
        return cbor2.loads(call(self.addresses["log"], "GET", "/archive")[1])

    def in_flight(self, node):
        return json.loads(call(self.addresses[node], "GET", "/v1/log-info")[1])["in_flight"]

    def set_fault(self, name, **settings):
        call(self.addresses[name], "POST", "/fault", json.dumps(settings))

    def add_event(self, kind, **fields):
        item = dict({"kind": kind, "since": now(), "until": float("inf")}, **fields)
        self.events.append(item)
        return item

    # Versions over time

    def sample_status(self, node):
        page = json.loads(call(self.addresses[node], "GET", "/v1/status", timeout=2)[1])
        return {"at": now(), "node": node, "incarnation": page["incarnation"], "phase": page["phase"],
                "next_offset": page["next_offset"], "inventory": page["inventory"]["version"],
                "rules": page["rules"]["version"], "members": page["members"],
                "pools": {p["pool"]: [p["hosts"], p["available"], p["budget"]] for p in page["pools"]}}

    def poll_status(self, node):
        def loop():
            while not self.stopping.is_set():
                try:
                    item = self.sample_status(node)
                    self.healthy[node] = item["phase"] == "serving"
                    self.samples.append(item)
                except (OSError, ValueError, http.client.HTTPException):
                    self.healthy[node] = False
                time.sleep(0.1)
        threading.Thread(target=loop, daemon=True).start()

    # Callers

    def request(self, node, service, token, key="", non_idempotent=False, run_ms=20, deadline_ms=0,
                give_up_ms=0):
        c = {"token": token, "node": node, "service": service, "key": key, "non_idempotent": non_idempotent,
             "gives_up": give_up_ms > 0, "sent_at": now(), "written_at": 0, "done_at": 0, "status": 0,
             "outcome": "", "request_id": "", "body": "", "whole": False, "error": ""}
        body = json.dumps({"run_ms": run_ms, "answer": token})
        lines = [f"POST /v1/services/{service}/requests HTTP/1.1", "Host: " + self.addresses[node],
                 "Connection: close", f"Content-Length: {len(body)}"]
        lines += [f"Idempotency-Key: {key}"] if key else []
        lines += ["X-Non-Idempotent: true"] if non_idempotent else []
        lines += [f"X-Deadline-Ms: {deadline_ms}"] if deadline_ms else []
        ip, port = self.addresses[node].split(":")
        received = b""
        try:
            with socket.create_connection((ip, int(port)), CALLER_TIMEOUT_S) as link:
                link.sendall(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
                c["written_at"] = now()
                link.settimeout(give_up_ms / 1000 if give_up_ms else CALLER_TIMEOUT_S)
                while piece := link.recv(65536):
                    received += piece
            read_answer(c, received)
        except ConnectionRefusedError:
            c["error"] = "refused"
        except OSError as problem:
            c["error"] = f"{type(problem).__name__} after {len(received)} bytes"
        c["done_at"] = now()
        self.callers.append(c)

    def load(self, seed, seconds, rate, hasty_repeats=False):
        """Generates an open-loop load: requests start at their scheduled times, whether or not earlier ones have
        ended."""
        rng = random.Random(f"load {seed}")
        due, number = time.monotonic(), 0
        end = due + seconds
        repeats = []  # (due, arguments)
        while due < end or repeats:
            number += 1
            due += rng.expovariate(rate)
            if repeats and repeats[0][0] <= due or due >= end:
                due, arguments = repeats.pop(0)
            else:
                arguments = self.random_request(rng, number)
                if arguments["key"] and rng.random() < 0.6:
                    for _ in range(rng.randint(1, 2)):
                        again = dict(arguments, give_up_ms=0,
                                     deadline_ms=rng.randint(5, 150) if hasty_repeats else 0)
                        repeats.append((due + rng.choice([0.005, 0.05, 0.5, 3.0]) * rng.random(), again))
                    repeats.sort(key=lambda item: item[0])
            time.sleep(max(0.0, due - time.monotonic()))
            # Draws do not depend on the nodes' health, so that the seed determines the load. 5 % of the requests
            # ignore the balancer's health check.
            pick, ignore_health = rng.random(), rng.random() < 0.05
            nodes = [n for n in NODES if self.healthy.get(n) or ignore_health] or NODES
            node = nodes[int(pick * len(nodes))]
            thread = threading.Thread(target=self.request, args=(node,), kwargs=arguments, daemon=True)
            thread.start()
            self.threads.append(thread)

    def random_request(self, rng, number):
        kind = rng.random()
        non_idempotent = kind > 0.45
        token = f"work-{number}"
        arguments = {"service": rng.choice(self.services), "token": token, "non_idempotent": non_idempotent,
                     "key": token if kind > 0.6 else "",
                     "run_ms": 2_000 if rng.random() < 0.03 else rng.randint(1, 200)}
        special = rng.random()
        arguments["deadline_ms"] = rng.randint(5, 300) if special < 0.08 else 0
        arguments["give_up_ms"] = rng.randint(1, 200) if special > 0.93 else 0
        return arguments

    # Evidence

    def all_caught_up(self):
        """Returns true if all running nodes are serving and have applied the whole log."""
        try:
            end = len(self.archive())
            pages = [self.sample_status(node) for node in NODES if self.processes[node].poll() is None]
        except (OSError, ValueError, http.client.HTTPException):
            return False
        return all(p["phase"] == "serving" and p["next_offset"] >= end for p in pages)

    def evidence(self):
        hosts = []
        for node in NODES:
            for host in self.workers if self.processes[node].poll() is None else []:
                status, body = call(self.addresses[node], "GET", "/v1/explain/host/" + host)
                page = json.loads(body) if status == 200 else None
                if page:
                    hosts.append({"node": node, "host": host, "pool": page["pool"], "epoch": page["epoch"],
                                  "phase": page["phase"], "offset": page["decided_at_offset"]})

        records = {h: json.loads(call(self.addresses[h], "GET", "/records")[1]) for h in self.workers}
        self.stopping.set()
        return {"log": self.archive(),
                "executions": {h: [r for r in rs if "state" in r] for h, rs in records.items()},
                "refusals": {h: [r for r in rs if "state" not in r] for h, rs in records.items()},
                "callers": list(self.callers), "samples": list(self.samples), "hosts": hosts,
                "events": self.events}


def read_answer(c, received):
    """Parses the answer into the caller record. Sets `whole` only if exactly one complete answer arrived."""
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        c["error"] = f"closed after {len(received)} bytes"
        return
    lines = head.decode().split("\r\n")
    headers = dict((name.strip().lower(), value.strip())
                   for name, _, value in (line.partition(":") for line in lines[1:]))
    c["status"] = int(lines[0].split()[1])
    c["outcome"] = headers.get("x-outcome", "")
    c["request_id"] = headers.get("x-request-id", "")
    c["whole"] = len(body) == int(headers.get("content-length", -1))
    c["body"] = body.decode(errors="replace")
