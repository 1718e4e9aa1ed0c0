"""Requests that tell which version of the configuration a node has in force. Each version brings a route of its own,
which the next ones keep for a while, and each node is asked for these routes all the time."""
import asyncio
import collections

KEPT = 16  # versions that keep a route: of three versions a second, those of more than configApplyMs
ASK_AGAIN_S = 0.2
CALM_ASK_S = 1.0  # between requests to a node that has shown the newest version
WAIT_S = 1.5


class MarkedRoutes:
    """The versions whose routes the newest one has, and the last one that has lost its route."""

    def __init__(self):
        self.kept = collections.deque(maxlen=KEPT)
        self.dropped = 0

    def add(self, version):
        if len(self.kept) == KEPT:
            self.dropped = self.kept[0]
        self.kept.append(version)


def probe_prefix(version):
    return f"/since-{version}/"


class VersionProbe:
    """Asks one node, over a connection that stays open."""

    def __init__(self, world, node):
        self.world = world
        self.node = node
        self.process = None
        self.shown = 0  # newest version that the process has shown
        self.asked_dropped = False

    async def run(self):
        while self.node in self.world.nodes:
            writer = None
            try:
                reader, writer = await asyncio.open_connection(*self.node.listen["front"].rsplit(":", 1))
                while True:
                    await asyncio.sleep(await self.ask(reader, writer))
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, IndexError, ValueError):
                pass  # the node ends, or does not answer
            if writer:
                writer.close()
            await asyncio.sleep(ASK_AGAIN_S)

    def choose(self):
        """@return the oldest version that the node has not shown; of a node that has shown all, the newest one and the
        one whose route was dropped last in turn"""
        if self.process != self.node.process:
            self.process, self.shown = self.node.process, 0
        routes = self.world.marked_routes
        for version in routes.kept:
            if version > self.shown:
                return version
        self.asked_dropped = not self.asked_dropped and routes.dropped > 0
        return routes.dropped if self.asked_dropped else routes.kept[-1]

    async def ask(self, reader, writer):
        """@return seconds until the next request"""
        version = self.choose()
        sent = self.world.now()
        writer.write(f"GET {probe_prefix(version)} HTTP/1.1\r\nHost: {self.world.host}\r\n"
                     f"Deadline-Ms: {int(WAIT_S * 1000)}\r\n\r\n".encode())
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), WAIT_S)
        status = int(head.split(b" ", 2)[1])
        await reader.readexactly(int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0]))
        self.world.notice("probe", node=self.node.name, version=version, sent=round(sent, 4), status=status)
        if not 200 <= status < 300:
            return ASK_AGAIN_S
        if version <= self.shown:
            return CALM_ASK_S
        self.shown = version
        return 0.0
