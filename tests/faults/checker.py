"""Checks the promises P1 to P8 against the records of a run. Shares no code with the product.

Evidence is a dict:
  log         [[offset, appended_at, bytes]], every record in the platform's log
  executions  {host: [{task, service, answer, state, started_at, ended_at, starts}]}
  refusals    {host: [{task, at, reason}]}, tasks that a worker refused to start
  callers     [{token, node, service, key, non_idempotent, gives_up, sent_at, written_at, done_at,
                status, outcome, request_id, body, whole, error}]
  samples     [{at, node, incarnation, phase, next_offset, inventory, rules, pools}]
  hosts       [{node, host, pool, epoch, phase, offset}], from /v1/explain/host
  events      [{kind, node or host, since, until, ...}], the injected faults
Times are wall-clock milliseconds of one machine.
"""
import hashlib
import json

import cbor2

IN_FORCE_LIMIT_MS = 9_000
LEAVE_LIMIT_MS = 5_000
MAX_SEEN_LAG = 100_000
KINDS = ["publish", "host", "condition", "wave", "claim", "claim_end", "snapshot_chunk", "snapshot_done",
         "audit_segment"]
MOVE, DRAIN, DRAINED, REBOOT, RESTORE, REMOVE = range(6)


def claim_key(service, key):
    return hashlib.sha256((service + "\0" + key).encode()).hexdigest()[:32]


def apply_patch(document, patch):
    """Applies an RFC 6902 patch: add, remove and replace, the operations of patches between versions."""
    for step in patch:
        parts = [p.replace("~1", "/").replace("~0", "~") for p in step["path"].split("/")[1:]]
        if not parts:
            document = step["value"]
            continue
        target = document
        for part in parts[:-1]:
            target = target[int(part)] if isinstance(target, list) else target[part]
        last = parts[-1]
        if isinstance(target, list):
            index = len(target) if last == "-" else int(last)
            if step["op"] == "add":
                target.insert(index, step["value"])
            elif step["op"] == "remove":
                del target[index]
            else:
                target[index] = step["value"]
        elif step["op"] == "remove":
            del target[last]
        else:
            target[last] = step["value"]
    return document


class Replay:
    """Independent fold over the raw log: placement of hosts, versions in force, claims."""

    def __init__(self):
        self.writers = {}
        self.versions = {"inventory": 0, "rules": 0}
        self.content = {"inventory": {}, "rules": {}}
        self.hosts = {}
        self.claims = {}       # key -> (writer, incarnation, request, ended)
        self.granted = {}      # request -> (key, appended_at, offset)
        self.publishes = []    # (kind, version, offset, appended_at)
        self.drains = []       # [host, appended_at, until]: accepted drains; until None: not ended
        self.summaries = []    # {pool: [hosts, available, budget]}, by offset
        self.in_force = []     # versions in force, by offset
        self.history = {}      # (host, offset) -> (pool, epoch, phase)
        self.epoch_floor = 0   # largest epoch of a removed host; new hosts start above it
        self.violations = []

    def budget(self, pool):
        services = self.content["rules"].get("services", {}).values()
        return max([s["min_hosts"] for s in services if s["pool"] == pool], default=0)

    def available(self, pool):
        return sum(1 for h in self.hosts.values()
                   if h["pool"] == pool and h["phase"] == "serving" and h["condition"] == 0)

    def record_summary(self):
        pools = self.content["inventory"].get("pools", {})
        self.summaries.append({p: [sum(1 for h in self.hosts.values() if h["pool"] == p),
                                   self.available(p), self.budget(p)] for p in pools})

    def run(self, log):
        for expected, (offset, appended_at, data) in enumerate(log):
            if offset != expected:
                self.violations.append(("log", f"offset {offset} where {expected} was expected"))
            self.apply_batch(offset, appended_at, data)
            self.record_summary()
            self.in_force.append(dict(self.versions))
        return self

    def apply_batch(self, offset, appended_at, data):
        try:
            root = cbor2.loads(bytes(data))
            writer, incarnation, seq, seen = root["w"], root["i"], root["s"], root["o"]
        except (ValueError, KeyError, TypeError, EOFError):
            return
        last = self.writers.get(writer)
        if seen + MAX_SEEN_LAG < offset or seen > offset:
            return
        if last and (incarnation < last[0] or (incarnation == last[0] and seq <= last[1])):
            return
        self.writers[writer] = (incarnation, seq)
        for kind, body in root["r"]:
            handler = getattr(self, "apply_" + KINDS[kind], None)
            if handler:
                handler(body, (writer, incarnation), offset, appended_at)

    def apply_publish(self, body, _author, offset, appended_at):
        kind = ["inventory", "rules"][body["kind"]]
        if body["replaces"] != self.versions[kind]:
            return
        content = json.loads(body["content"])
        if body["is_patch"]:
            content = apply_patch(json.loads(json.dumps(self.content[kind])), content)
        text = json.dumps(content, separators=(",", ":"), ensure_ascii=False, sort_keys=True)
        if hashlib.sha256(text.encode()).hexdigest() != body["content_hash"]:
            return
        self.versions[kind] += 1
        self.content[kind] = content
        self.publishes.append((kind, self.versions[kind], offset, appended_at))
        if kind == "inventory":
            listed_hosts = content["hosts"]
            for name, host in self.hosts.items():
                host["removed"] = name not in listed_hosts
            for name, spec in listed_hosts.items():
                if name not in self.hosts:
                    epoch = self.epoch_floor + 1
                    self.hosts[name] = {"pool": spec["pool"], "epoch": epoch, "phase": "serving",
                                        "condition": 0, "removed": False}
                    self.history[name, offset] = (spec["pool"], epoch, "serving")
                    self.end_drains(name, appended_at)

    def end_drains(self, host, appended_at):
        for drain in self.drains:
            if drain[0] == host and drain[2] is None:
                drain[2] = appended_at

    def apply_condition(self, body, *_):
        if body["host"] in self.hosts:
            self.hosts[body["host"]]["condition"] = body["condition"]

    def apply_host(self, body, _author, offset, appended_at):
        host = self.hosts.get(body["host"])
        if not host or host["epoch"] != body["epoch"] or host["pool"] != body["pool"]:
            return
        action, phase, pool = body["action"], host["phase"], host["pool"]
        reduces_available = action in (MOVE, DRAIN) and phase == "serving" and host["condition"] == 0
        if reduces_available and self.available(pool) - 1 < self.budget(pool):
            return
        pools = self.content["inventory"]["pools"]
        if action == MOVE:
            if body["to_pool"] not in pools or body["to_pool"] == pool:
                return
            host["pool"] = body["to_pool"]
        else:
            allowed_phases, next_phase = {
                DRAIN: (["serving"], "draining"), DRAINED: (["draining"], "drained"),
                REBOOT: (["drained"], "rebooting"),
                RESTORE: (["draining", "drained", "rebooting"], "serving"),
                REMOVE: (["drained"], "gone")}[action]
            lost = action == REMOVE and host["condition"] == 2
            if (phase not in allowed_phases and not lost) or (action == REMOVE and not host["removed"]):
                return
            host["phase"] = next_phase
        host["epoch"] += 1
        if action == DRAIN:
            self.drains.append([body["host"], appended_at, None])
        if action == RESTORE:
            self.end_drains(body["host"], appended_at)
        self.history[body["host"], offset] = (host["pool"], host["epoch"], host["phase"])
        if action == REMOVE:
            self.epoch_floor = max(self.epoch_floor, host["epoch"])
            del self.hosts[body["host"]]

    def apply_claim(self, body, author, offset, appended_at):
        if body["key"] not in self.claims:
            self.claims[body["key"]] = [*author, body["request_id"], False]
            self.granted[body["request_id"]] = (body["key"], appended_at, offset)

    def apply_claim_end(self, body, author, *_):
        claim = self.claims.get(body["key"])
        if not claim or claim[:2] != list(author) or claim[2] != body["request_id"] or claim[3]:
            return
        if body["end"] == 0:
            del self.claims[body["key"]]
        else:
            claim[3] = True


class Checker:
    def __init__(self, evidence):
        self.evidence = evidence
        self.violations = []
        self.replay = Replay().run(evidence["log"])
        self.runs = [dict(r, host=h) for h, rs in evidence["executions"].items() for r in rs]
        self.by_task = {}
        self.by_token = {}
        for run in self.runs:
            self.by_task.setdefault(run["task"], []).append(run)
            self.by_token.setdefault(run["answer"], []).append(run)

    def report(self, promise, text):
        self.violations.append(f"{promise}: {text}")

    def events(self, *kinds):
        return [e for e in self.evidence["events"] if e["kind"] in kinds]

    def run(self):
        for promise, text in self.replay.violations:
            self.report(promise, text)
        for check in (self.budgets, self.one_pool, self.answers, self.not_run, self.at_most_once,
                      self.leaving, self.planned_stop, self.versions):
            check()
        return self.violations

    def budgets(self):
        """P1: in every sample, the available hosts and budget of each pool match the replay at its offset."""
        for s in self.evidence["samples"]:
            if not 0 < s["next_offset"] <= len(self.replay.summaries):
                continue
            summary = self.replay.summaries[s["next_offset"] - 1]
            for pool, (_, available, budget) in s["pools"].items():
                expected = summary.get(pool, [0, 0, 0])
                if [available, budget] != expected[1:]:
                    self.report("P1", f"{s['node']} counts {available} available of budget {budget} in "
                                f"{pool} after offset {s['next_offset'] - 1}, the log gives {expected[1:]}")
                    return

    def one_pool(self):
        """P2: every node has each host in the pool, epoch and phase that the log determines."""
        for s in self.evidence["samples"]:
            if 0 < s["next_offset"] <= len(self.replay.summaries):
                expected = {p: v[0] for p, v in self.replay.summaries[s["next_offset"] - 1].items()}
                if expected != {p: v[0] for p, v in s["pools"].items()}:
                    self.report("P2", f"{s['node']} places hosts as {s['pools']} after offset "
                                f"{s['next_offset'] - 1}, the log gives {expected}")
                    break
        for h in self.evidence["hosts"]:
            expected = self.replay.history.get((h["host"], h["offset"]))
            if expected != (h["pool"], h["epoch"], h["phase"]):
                self.report("P2", f"{h['node']} has {h['host']} as {h['pool']}, {h['epoch']}, "
                            f"{h['phase']} since offset {h['offset']}, the log gives {expected}")

    def may_lack_answer(self, c):
        """Returns true if the caller gave up or its node was killed while the request was open."""
        return c["gives_up"] or any(e["node"] == c["node"] and e["since"] <= c["done_at"] and
                                    e["until"] >= c["sent_at"] for e in self.events("kill"))

    def answers(self):
        """P3: each caller gets one complete answer, to its own request; "done" implies an execution."""
        by_request_id = {}
        for c in self.evidence["callers"]:
            label = f"{c['token']} at {c['node']}"
            if c["error"]:
                if not self.may_lack_answer(c) and c["error"] != "refused":
                    self.report("P3", f"{label} got no answer: {c['error']}")
                continue
            if not c["whole"]:
                self.report("P3", f"{label} got an incomplete answer or more than one")
            if c["outcome"] not in ("done", "failed", "not-run", "unknown", "never", "already-ran"):
                self.report("P3", f"{label} got the undefined outcome '{c['outcome']}' with status {c['status']}")
            if c["outcome"] == "done" and c["body"] != c["token"]:
                self.report("P3", f"{label} got the answer of another request: {c['body'][:80]}")
            if c["outcome"] == "done" and not any(r["state"] == "done" for r in self.by_token.get(c["token"], [])):
                self.report("P3", f"{label} got 'done' without an execution")
            if c["request_id"] and by_request_id.setdefault(c["request_id"], c) is not c:
                self.report("P3", f"two callers got request id {c['request_id']}")

    def not_run(self):
        """P4: no worker started a request that was answered "not-run" or "never"."""
        for c in self.evidence["callers"]:
            if c["error"] or c["outcome"] not in ("not-run", "never"):
                continue
            if self.by_task.get(c["request_id"]) or (not c["key"] and self.by_token.get(c["token"])):
                self.report("P4", f"{c['token']} was answered '{c['outcome']}' by {c['node']} although it ran")
            # A node that has applied the claim knows that the key may have run, and must not answer
            # "not-run". A node that cannot read the log, or that refuses requests while it catches up (no
            # request id), may answer "not-run" for this request alone (design page, sections 4 and 5).
            claims = [(self.replay.granted[r["task"]][2], r) for r in self.by_token.get(c["token"], [])
                      if r["started_at"] < c["sent_at"] and r["task"] in self.replay.granted]
            known_starts = [r for offset, r in claims if any(
                s["node"] == c["node"] and s["at"] < c["sent_at"] and s["next_offset"] > offset
                for s in self.evidence["samples"])]
            if c["key"] and c["request_id"] and known_starts:
                self.report("P4", f"key {c['key']} was answered '{c['outcome']}' by {c['node']} at "
                            f"{c['done_at']} after it had started at {known_starts[0]['started_at']} on "
                            f"{known_starts[0]['host']}")

    def at_most_once(self):
        """P5: at most one start over all workers; with a key, only after an accepted claim."""
        requests = {}
        for c in self.evidence["callers"]:
            if c["non_idempotent"]:
                requests[c["token"]] = c
        for token, c in requests.items():
            runs = self.by_token.get(token, [])
            starts = sum(r["starts"] for r in runs)
            if starts > 1:
                self.report("P5", f"{token} started {starts} times: "
                            f"{[(r['host'], r['task'], r['started_at']) for r in runs]}")
            for r in runs if c["key"] else []:
                key, at, _ = self.replay.granted.get(r["task"], (None, 0, 0))
                if key != claim_key(c["service"], c["key"]) or at > r["started_at"]:
                    self.report("P5", f"{token} started as {r['task']} without an accepted claim")

    def leaving(self):
        """P6: no task reaches a worker more than 5 s after the worker began to leave."""
        spans = [(e["host"], e["since"], e["until"]) for e in self.events("leaving")]
        spans += [(host, since, until or float("inf")) for host, since, until in self.replay.drains]
        for host, since, until in spans:
            starts = [(r["started_at"], r["task"]) for r in self.evidence["executions"].get(host, [])]
            refused = [(r["at"], r["task"]) for r in self.evidence["refusals"].get(host, [])]
            late = [x for x in starts + refused if since + LEAVE_LIMIT_MS < x[0] < until]
            if late:
                self.report("P6", f"{host} began to leave at {since} and got {len(late)} tasks too late, "
                            f"first {late[0]}")

    def planned_stop(self):
        """P7: a planned stop exits with 0, and requests from before the listener closed are answered."""
        for e in self.events("stop"):
            if e["exit_code"] != 0:
                self.report("P7", f"{e['node']} stopped with exit code {e['exit_code']}")
            for c in self.evidence["callers"]:
                # A refused connection counts as well: during the notice the balancer moves callers to other
                # nodes, so the node must accept requests until the notice ends.
                at = c["sent_at"] if c["error"] == "refused" else c["written_at"]
                affected = c["node"] == e["node"] and e["started_at"] <= at < e["since"] + e["notice_ms"]
                if affected and c["error"] and not c["gives_up"] and c["done_at"] >= e["since"]:
                    self.report("P7", f"{c['token']} at {c['node']} was not answered: {c['error']}")

    def deadline(self, node, start):
        """Returns the time by which a version must be in force: 9 s after its append, or after the end of the
        last fault that kept this node from the log meanwhile."""
        at = start
        for e in sorted(self.events("log", "kill", "stop", "pause", "log-link", "peer-link"),
                        key=lambda e: e["since"]):
            affects_node = e.get("node") in (None, node)
            if affects_node and e["since"] <= at + IN_FORCE_LIMIT_MS and e["until"] > at:
                at = e["until"]
        return at + IN_FORCE_LIMIT_MS

    def versions(self):
        """P8: versions never go back on a node, and a published version is in force within 9 s."""
        for e in self.events("race"):
            if e["codes"].count(0) > 1:
                self.report("P8", "two publications replaced the same version")
        for node in sorted({s["node"] for s in self.evidence["samples"]}):
            samples = [s for s in self.evidence["samples"] if s["node"] == node]
            for kind in ("inventory", "rules"):
                served, last = 0, (None, 0)
                for s in samples:
                    if 0 < s["next_offset"] <= len(self.replay.in_force):
                        accepted = self.replay.in_force[s["next_offset"] - 1][kind]
                        if s[kind] != accepted:
                            self.report("P8", f"{node} has {kind} version {s[kind]} after offset "
                                        f"{s['next_offset'] - 1}, the log gives {accepted}")
                            break
                    older_in_process = s["incarnation"] == last[0] and s[kind] < last[1]
                    if older_in_process or (s["phase"] == "serving" and s[kind] < served):
                        self.report("P8", f"{node} went back to {kind} version {s[kind]} at {s['at']}")
                        break
                    last = (s["incarnation"], s[kind])
                    served = max(served, s[kind] if s["phase"] == "serving" else 0)
                for name, version, offset, appended_at in self.replay.publishes:
                    limit = self.deadline(node, appended_at)
                    if name != kind or limit == float("inf"):
                        continue
                    first = next((s["at"] for s in samples if s["at"] >= appended_at and s[kind] >= version), None)
                    if first is None or first > limit:
                        self.report("P8", f"{kind} version {version} of offset {offset}, appended at "
                                    f"{appended_at}, was in force on {node} at {first}, deadline {limit}")
