"""Entry nodes of the project as separate processes, beside the stand-ins of the platform."""
import asyncio
import json
import os
import signal
import subprocess
import time

from users_platform import HostService, Record, Store, Worker, call, dump, free_port

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, os.environ.get("BUILD_DIR", "build"), "waxwingnotch")

# Those of the site farsa-kano.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
          "maxStretchMs": 5000, "recoveryS": 12, "holdMaxMs": 6000, "stopMs": 900, "gangMs": 3000,
          "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
          "remoteSlowdown": 1.5, "checkpointS": 2, "restoreMs": 100, "noticeMs": 4500, "moveS": 1.5,
          "maintenanceS": 2, "fencingEnabled": True, "leaseMs": 3000, "thawMs": 300, "paceMs": 100,
          "violationMs": 4000}


# Nodes of scripts that run at the same time have addresses of their own, so that none finds its port in use by another
# script's node. The soak has 127.100 and above.
NETWORK = f"127.{32 + os.getpid() // 256 % 64}.{os.getpid() % 256}"


class Node:
    """One entry node: a process of the project with a settings file in the platform's format."""

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.name = f"front-{number}"
        self.ip = f"{NETWORK}.{10 + number}"
        self.addresses = {name: f"{self.ip}:{free_port(self.ip)}" for name in ("front", "ready", "control")}
        self.process = None

    def settings(self):
        cluster = self.cluster
        return {
            "nodeName": self.name, "role": "entry", "machineClass": "front", "serves": ["front", "control"],
            "ip": self.ip, "zone": "z1", "region": "r1", "zones": {"z1": "r1"},
            "listenAddrs": self.addresses, "internalPorts": [7060, 7075],
            "seeds": [node.addresses["control"] for node in cluster.nodes][:3],
            "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep",
                          "sharing"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": cluster.bounds, "orders": "call", "advice": cluster.advice_address,
            "platform": {"address": cluster.store.http.address, "form": "log", "writesPerS": 800,
                         "readsPerS": 2000, "parts": 8, "appendMs": 4.0, "partMbPerS": 20.0, "readMbPerS": 80.0,
                         "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200,
                         "ttlMinMs": 1000},
            "cloudApi": {"address": cluster.hosts.http.address, "ratePerS": 64.0, "duties": [], "dutyPerS": 64.0}}

    def start(self):
        file = os.path.join(self.cluster.folder, self.name + ".json")
        with open(file, "w", encoding="utf-8") as out:
            json.dump(self.settings(), out)
        log = open(os.path.join(self.cluster.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "node"], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": self.cluster.folder, "LANG": "C.UTF-8",
                 "WAXWINGNOTCH_CONFIG": file})
        log.close()
        self.cluster.record.write(f"{self.name} started, process {self.process.pid}")

    def signal(self, number):
        self.cluster.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self, limit_s=7.0):
        """Planned stop: SIGTERM, and SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        end = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        self.kill()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    def log_lines(self, *events):
        with open(os.path.join(self.cluster.folder, self.name + ".log"), encoding="utf-8") as log:
            lines = log.read().splitlines()
        return [line for line in lines if any(f'"event":"{event}"' in line for event in events)]


class Cluster:
    def __init__(self, folder, record, node_count=3, bounds=None):
        self.folder = folder
        self.record = record
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store = Store(record=record)
        self.hosts = HostService(record)
        self.advice_address = "127.0.0.1:9"
        self.workers = []
        self.nodes = []
        self.node_count = node_count
        self.version = 0

    async def start_platform(self):
        await self.store.http.listen("127.0.0.1")
        await self.hosts.http.listen("127.0.0.1")

    async def close_servers(self):
        """Closes the stand-ins and leaves other tasks of the loop alone."""
        for worker in self.workers:
            worker.beat.cancel()
        for server in [self.store.http, self.hosts.http, *(worker.http for worker in self.workers)]:
            await server.close()

    async def close_platform(self):
        await self.close_servers()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def start_nodes(self):
        self.nodes = [Node(self, number + 1) for number in range(self.node_count)]
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.wait_until(self.is_ready, node, limit_s=15, what=f"{node.name} is ready")

    @staticmethod
    async def is_ready(node):
        status, _ = await call(node.addresses["ready"], "GET", "/waxwingnotch/readyz", timeout_s=1)
        return status == 200

    async def wait_until(self, condition, *arguments, limit_s, what):
        end = time.monotonic() + limit_s
        while not await condition(*arguments):
            if time.monotonic() > end:
                raise TimeoutError(f"not in time: {what}")
            await asyncio.sleep(0.1)

    def publish(self, routes, services):
        self.version += 1
        self.record.write(f"configuration {self.version}: routes {json.dumps(routes)}")
        self.store.put("keyed.op", 0, [(b"config", dump({
            "version": self.version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1",
                          "tls": False, "enforcesCapacity": True, "standby": standby}
                         for name, standby in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}))])

    async def add_worker(self, worker_id, service, duration_s, **options):
        worker = Worker(self.record, worker_id, service, self.store, duration_s, **options)
        await worker.start()
        self.workers.append(worker)
        self.record.write(f"worker {worker_id} of {service} at {worker.address}")
        return worker

    async def client(self, method, path, body=None, node=0, quiet=False, headers=None):
        target = self.nodes[node % len(self.nodes)]
        status, answer = await call(target.addresses["front"], method, path,
                                    {"Host": "jobs.example", "Deadline-Ms": "3000", **(headers or {})}, body,
                                    timeout_s=3.5)
        if not quiet:
            shown = json.dumps(body)
            self.record.write(f"client: {method} {path} {shown[:160] if body else ''} at {target.name} -> "
                              f"{status} {json.dumps(answer)}")
        return status, answer

    def close(self):
        for node in self.nodes:
            node.kill()


def route(name, prefix, service, **fields):
    return {"name": name, "host": "jobs.example", "pathPrefix": prefix, "kind": "non_idempotent",
            "timeoutMs": 3000, "completionTargetMs": 600, "priority": 0, "service": service, "maxAttempts": 2,
            "stretch": 1.6, **fields}
