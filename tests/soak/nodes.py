"""Entry nodes as processes with the settings of a deployment, and the samples that are taken of them."""
import asyncio
import ctypes
import dataclasses
import json
import os
import resource
import signal
import subprocess
import time

from address_views import PeerRelay
from faulty_platform import ROOT, SALT, WORKER_IP, Relay
from narrow_links import NarrowRelay, host_links
from users_platform import call, free_port

PROGRAM = os.path.join(os.environ.get("BUILD_DIR", os.path.join(ROOT, "build")), "waxwingnotch")
LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1  # of prctl(2)
ZONES = ["obihiro", "otaru", "chitose", "asahikawa"]
GRACE_S = 6
MEMORY_MB, DESCRIPTORS = 260, 4_100
DATA_LIMIT = 1 << 30  # a process that grows without bound ends before it harms the machine
SMALL_FILE = 20_000  # bytes
SEEN_THROUGH_RELAYS = 10  # at most this many nodes see one another through relays, which need n x n ports
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": GRACE_S, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
          "maxStretchMs": 5000, "recoveryS": 12, "holdMaxMs": 10000, "stopMs": 200, "gangMs": 3000,
          "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
          "remoteSlowdown": 2, "checkpointS": 2, "restoreMs": 250, "noticeMs": 4500, "moveS": 1.5,
          "maintenanceS": 2, "fencingEnabled": True, "leaseMs": 3000, "thawMs": 300, "paceMs": 100,
          "violationMs": 4000}


@dataclasses.dataclass
class Deployment:
    """Where the sites differ in what concerns the soak."""

    name: str
    stop_s: float  # how long a worker takes for a stop
    nodes: int
    bounds: dict  # where they differ from BOUNDS, which are those of tkc-sapporo
    shares: tuple = ()  # processor share of each entry host, where they are not of one size
    platform: dict = dataclasses.field(default_factory=dict)  # the store's figures that differ from those in settings()
    services: dict = dataclasses.field(default_factory=dict)  # workers of each, where they are not the usual ones
    grown: bool = False
    link_mbps: float = 0.0  # of each host, shared by store, other nodes and workers. 0: no limit

    def all_bounds(self):
        return {**BOUNDS, **self.bounds}


DEPLOYMENTS = [
    Deployment("tkc-sapporo with quick stops", 0.05, 7, {}),
    Deployment("tkc-sapporo", 0.2, 7, {}),
    Deployment("farsa-kano", 0.9, 8, {"holdMaxMs": 6000, "stopMs": 900, "remoteSlowdown": 1.5, "restoreMs": 100})]
# Chosen by --deployment, never by a seed.
GROWN_DEPLOYMENTS = [
    Deployment("farsa-kano-grown", 0.9, 34,
               {"holdMaxMs": 6000, "stopMs": 900, "remoteSlowdown": 1.5, "restoreMs": 100, "contactMs": 4000,
                "ackMs": 6000, "catchUpS": 6, "drainMs": 3000, "configApplyMs": 3000, "maxStretchMs": 6000,
                "recoveryS": 15, "gangMs": 4000, "cancel_ms": 4000, "noticeMs": 5500, "violationMs": 4500},
               (0.5,) * 8 + (0.12,) * 26, {"writesPerS": 1200, "readsPerS": 6000, "readMbPerS": 500.0, "keep_s": 20},
               {"lineplan": 61, "syrupworks": 69, "labelhouse": 78, "dockside": 85, "backoffice": 56}, True)]
# As its days are played when they are shrunk by 2.4: small hosts only, with narrow links.
GROWN_DEPLOYMENTS.append(dataclasses.replace(
    GROWN_DEPLOYMENTS[0], name="farsa-kano-grown-small", shares=(0.12,) * 24, link_mbps=2.0,
    nodes=24,  # of 34: more would need addresses of the workers for the relays between the nodes
    services={"lineplan": 25, "syrupworks": 29, "labelhouse": 33, "dockside": 35, "backoffice": 23}))


def limit_process():
    """Runs in the new process: limits its resources, and lets it end with the soak."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    resource.setrlimit(resource.RLIMIT_DATA, (DATA_LIMIT, DATA_LIMIT))
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))


def limit_files():
    """As limit_process, on a platform that limits the size of files; the log reaches the limit."""
    limit_process()
    resource.setrlimit(resource.RLIMIT_FSIZE, (SMALL_FILE, SMALL_FILE))


class Node:
    """One entry node. Its address as others see it is that of a relay: 127.1NN.S.1MM stands for node MM as seen by
    node NN (NN from 1), of the same length as 127.100.S.1MM, the address on which node MM listens. In the same way
    each node reaches the workers at an address of its own, `worker_ip`, by which they know who calls."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        shares = world.deployment.shares
        self.share = 0.25 if not shares else shares[number] if number < len(shares) else min(shares)
        self.name = f"front-{ZONES[number % 4]}-{number}"
        self.ip = f"127.100.{SALT}.{100 + number}"
        self.worker_ip = f"127.{129 + number}.{SALT}.1"
        self.listen = {name: f"{self.ip}:{free_port(self.ip)}" for name in ("front", "ready", "control")}
        mbps = world.deployment.link_mbps
        self.links = host_links(mbps * 125_000) if mbps else None
        self.store_link = NarrowRelay(self.links) if mbps else Relay()  # between this node and the store
        self.peer_links = {}  # number of another node: relay to it
        self.limits = limit_process
        self.extra = {}  # settings that a fault changes or adds
        self.process = None
        self.expected_end = False
        self.paused = False
        self.held = False  # a disturbance of its process is under way
        self._touched = 0.0
        self.file = os.path.join(world.folder, f"{self.name}.json")
        self.log = os.path.join(world.folder, f"{self.name}.log")

    @property
    def touched(self):
        """Until when a disturbance concerns this node."""
        return self._touched

    @touched.setter
    def touched(self, until):
        self._touched = until
        self.world.notice("touched", node=self.name, until=round(until, 3))

    async def connect(self):
        self.store_link.target = await self.world.store.add_front(self.number, self.rewrite_out, self.rewrite_in)
        await self.store_link.listen("127.0.0.1")
        if self.links or len(self.world.all_nodes) <= SEEN_THROUGH_RELAYS:
            for other in self.world.all_nodes:
                if other is not self:
                    target = other.listen["control"]
                    relay = NarrowRelay(self.links, target, (self.number, other.number)) if self.links else \
                        PeerRelay(target, self.number, other.number)
                    self.peer_links[other.number] = relay
                    await relay.listen(f"127.{101 + self.number}.{SALT}.{100 + other.number}",
                                       int(target.rsplit(":", 1)[1]))

    def rewrite_out(self, content):
        """What the store tells this node, with the addresses of the relays to the others and to the workers."""
        for number in self.peer_links:
            content = content.replace(b"127.100.%d.%d:" % (SALT, 100 + number),
                                      b"127.%d.%d.%d:" % (101 + self.number, SALT, 100 + number))
        return content.replace(WORKER_IP.encode() + b":", self.worker_ip.encode() + b":")

    def rewrite_in(self, content):
        content = content.replace(self.worker_ip.encode() + b":", WORKER_IP.encode() + b":")
        return content.replace(b"127.%d.%d." % (101 + self.number, SALT), b"127.100.%d." % SALT)

    def settings(self):
        seeds = [node.listen["control"] for node in self.world.nodes[:3]]
        return {
            "nodeName": self.name, "role": "entry", "machineClass": "front", "serves": ["front", "control"],
            "ip": self.ip, "zone": ZONES[self.number % 4], "region": "hokkaido",
            "zones": dict.fromkeys(ZONES, "hokkaido"), "listenAddrs": self.listen, "internalPorts": [7060, 7075],
            "seeds": json.loads(self.rewrite_out(json.dumps(seeds).encode())), "bootstrap": True,
            "countsAsLoss": False,
            "limits": {"cpuShare": self.share, "cores": 1, "memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS,
                       "linkMbps": self.world.deployment.link_mbps or 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep",
                          "sharing"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": self.world.deployment.all_bounds(),
            "orders": "call",
            "advice": self.world.advice_address,
            "platform": {"address": self.store_link.address, "form": "log", "writesPerS": 600, "readsPerS": 2000,
                         "parts": 8, "appendMs": 4.0, "partMbPerS": 20.0, "readMbPerS": 80.0,
                         "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200,
                         "ttlMinMs": 1000, **self.world.deployment.platform},
            "cloudApi": {"address": self.world.host_address, "ratePerS": 64.0, "duties": [], "dutyPerS": 64.0},
            **self.extra}

    def write_settings(self):
        with open(self.file, "w", encoding="utf-8") as out:
            json.dump(self.settings(), out)

    def start(self):
        self.write_settings()
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "node"], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=self.limits,
                env={"PATH": os.environ["PATH"], "HOME": self.world.folder, "LANG": "C.UTF-8",
                     "WAXWINGNOTCH_CONFIG": self.file})
        self.expected_end = self.paused = False
        self.world.notice("node_start", node=self.name, pid=self.process.pid)
        if self.world.shares:
            self.world.shares.add(self.process.pid, self.share)

    def signal(self, number):
        """Sends a signal, to the process that this object started and nobody else."""
        if self.process.poll() is None:
            self.expected_end = self.expected_end or number in (signal.SIGTERM, signal.SIGKILL)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.paused = number == signal.SIGSTOP
            self.world.notice("signal", node=self.name, signal=signal.Signals(number).name)
            self.process.send_signal(number)

    async def stop(self):
        """Planned stop, as the platform does it. The status and the time are checked."""
        begin = time.monotonic()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        while self.process.poll() is None and time.monotonic() - begin < GRACE_S:
            await asyncio.sleep(0.02)
        self.world.notice("node_stop", node=self.name, status=self.process.poll(),
                          seconds=time.monotonic() - begin)
        self.kill()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def last_lines(self, count=4):
        with open(self.log, "rb") as log:
            log.seek(max(0, os.path.getsize(self.log) - 8_000))
            return log.read().decode("utf-8", "replace").splitlines()[-count:]

    async def is_ready(self):
        status, _ = await call(self.listen["ready"], "GET", "/waxwingnotch/readyz", timeout_s=1)
        return status == 200

    def sample(self):
        """Resident memory in MB, descriptors, and processor seconds since the start."""
        folder = f"/proc/{self.process.pid}"
        with open(f"{folder}/statm", encoding="ascii") as file:
            memory = int(file.read().split()[1]) * resource.getpagesize() / 1e6
        with open(f"{folder}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        processor = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        return memory, len(os.listdir(f"{folder}/fd")), processor

    async def watch(self):
        """Reports ends, readiness and samples, once a second, and restarts a process that ended by itself."""
        while True:
            await asyncio.sleep(1.0)
            if self.process is None:
                continue
            status = self.process.poll()
            if status is not None:
                if not self.expected_end:
                    self.world.notice("node_end", node=self.name, status=status, lines=self.last_lines())
                    self.start()
                continue
            try:
                memory, descriptors, processor = self.sample()
            except OSError:
                continue
            ready = not self.paused and await self.is_ready()
            self.world.notice("sample", node=self.name, pid=self.process.pid, memory=memory,
                              descriptors=descriptors, processor=processor, ready=ready, log=os.path.getsize(self.log),
                              disturbed=self.paused or self.expected_end or self.world.disturbed(self))
