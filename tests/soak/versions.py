"""The promise CONFIG, as RULES.md has it: a version is in force at the nodes in touch within configApplyMs of its
acknowledgement, and no process goes back to an older one. Judged on probes, which are requests for routes that only
some versions have. Part of the checker."""

SLOWED = 8  # rollbackSlackMs counts so many times on a node that is not in touch


class Versions:
    def __init__(self, checker, bounds):
        self.checker = checker
        self.apply_s = bounds["configApplyMs"] / 1000
        self.stretch_s = bounds["maxStretchMs"] / 1000
        self.rollback_s = bounds["rollbackSlackMs"] / 1000
        self.published = []  # (acknowledged at, version, versions whose routes it has)
        self.index = {}  # version: its place in `published`
        self.started = {}  # node: start of its process
        self.shown = {}  # node: (place of the newest version that its process has shown, since)

    def publish(self, record):
        self.index[record["version"]] = len(self.published)
        self.published.append((record["at"], record["version"], frozenset(record["routes"])))

    def start(self, record):
        self.started[record["node"]] = record["at"]
        self.shown.pop(record["node"], None)

    def probe(self, record):
        """A node's answer to a request for the route that came with `version`."""
        if record["sent"] < self.started.get(record["node"], 0.0):
            return  # of the process before
        if record["status"] == 404:
            self.judge(record, "refuses", lambda routes: record["version"] in routes)
            self.note_refused(record)
        elif 200 <= record["status"] < 300:
            self.judge(record, "still has", lambda routes: record["version"] not in routes)
            self.note_shown(record)

    def judge(self, record, what, contradicts):
        """@param contradicts whether the answer cannot be one of a version with these routes"""
        at, node, sent = record["at"], record["node"], record["sent"]
        where = f"{node} {what} the route of version {record['version']} at {sent:.3f}"
        oldest = self.oldest_in_force(record)
        if oldest is not None and self.all_contradict(oldest, at, contradicts):
            begin, version, _ = self.published[oldest]
            self.checker.breach(at, "CONFIG", f"{where}, {sent - begin:.3f} s after the acknowledgement of version "
                                f"{version} at {begin:.3f}", (node, version))
        place, since = self.shown.get(node, (None, 0.0))
        slack_s = self.rollback_s * (1 if self.checker.in_touch(node, sent) else SLOWED)
        if place is not None and sent > since + slack_s and self.all_contradict(place, at, contradicts):
            self.checker.breach(at, "CONFIG", f"{where}, {sent - since:.3f} s after it has shown version "
                                f"{self.published[place][1]}", (node, since))

    def all_contradict(self, oldest, at, contradicts):
        return all(contradicts(routes) for begin, _, routes in self.published[oldest:] if begin <= at)

    def oldest_in_force(self, record):
        """@return the place of the newest version that has to be in force when a probe is sent, None if none has to"""
        checker, node, sent = self.checker, record["node"], record["sent"]
        in_touch = checker.in_touch(node, sent)
        bound_s = self.apply_s if in_touch else self.apply_s + self.stretch_s
        for place in range(len(self.published) - 1, -1, -1):
            begin = self.published[place][0]
            if sent <= begin + bound_s or \
                    sent <= begin + bound_s + checker.lag_between(begin, sent) + record.get("late", 0.0):
                continue
            # An unstable store stretches the bound as long as it has not been down or slow and has lost no answers.
            if in_touch or not checker.touched_between(node, begin - checker.contact_s, sent, beside_core=True):
                return place
            return None
        return None

    def note_shown(self, record):
        node, version = record["node"], record["version"]
        place = self.index[version]
        if place > self.shown.get(node, (-1, 0.0))[0]:
            self.shown[node] = place, record["at"]

    def note_refused(self, record):
        """Keeps the longest time for which a version was not in force at a node that was in touch all the while."""
        place = self.index[record["version"]]
        begin, sent = self.published[place][0], record["sent"]
        if self.all_contradict(place, record["at"], lambda routes: record["version"] in routes) and \
                not self.checker.touched_between(record["node"], begin - self.checker.contact_s, sent):
            self.checker.peaks["config_s"] = max(self.checker.peaks["config_s"], sent - begin)

    def behind(self, nodes):
        """@return those of the nodes that have not shown the newest version"""
        newest = len(self.published) - 1
        return [node for node in nodes if self.shown.get(node, (-1, 0.0))[0] < newest]
