"""Links of limited rate. What a host exchanges with the store, with other nodes and with workers shares its link."""
import asyncio
import math
import time

from address_views import ViewPipe
from faulty_platform import Relay

PIECE_BYTES = 8_192  # passed on at once; an answer that arrives as a whole shows no progress before its end


class Link:
    """One direction of a host's link."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0
        self.bytes = 0
        self.longest_wait_s = 0.0

    def carry(self, size):
        """@return in how many seconds the last of these bytes is through"""
        now = time.monotonic()
        self.free_at = max(now, self.free_at) + size / self.bytes_per_s
        self.bytes += size
        self.longest_wait_s = max(self.longest_wait_s, self.free_at - now)
        return self.free_at - now


def host_links(bytes_per_s):
    """@return the link of a host: "forth" carries what the host sends, "back" what it receives"""
    return {"forth": Link(bytes_per_s), "back": Link(bytes_per_s)}


class NarrowPipe(ViewPipe):
    """One side of a relayed connection over a host's link."""

    def connection_made(self, transport):
        transport.max_size = PIECE_BYTES  # most that the loop reads at once, 256 KB by default
        super().connection_made(transport)

    def data_received(self, data):
        if self.other:
            delay_s = self.relay.links[self.direction].carry(len(data))
            self.due = max(self.due, asyncio.get_running_loop().time() + delay_s)
        super().data_received(data)


class NarrowRelay(Relay):
    """A relay over a host's link."""

    pipe = NarrowPipe

    def __init__(self, links, target="", views=None):
        """@param views the numbers of the nodes that the relay connects, None if it leads to the store"""
        super().__init__(target)
        self.links = links
        self.views = views


class InTurn:
    """Calls back when what one connection sends over a link is through, in the order in which it was sent."""

    def __init__(self, link):
        self.link = link
        self.due = 0.0

    def send(self, size, call, *args):
        loop = asyncio.get_running_loop()
        # The loop keeps no order among calls at the same time.
        self.due = max(math.nextafter(self.due, math.inf), loop.time() + self.link.carry(size))
        loop.call_at(self.due, call, *args)


class NarrowTransport:
    """The transport of a connection that a server has accepted over its caller's link."""

    def __init__(self, transport, link):
        self.transport = transport
        self.turn = InTurn(link)
        self.aborted = False

    def __getattr__(self, name):
        return getattr(self.transport, name)

    def write(self, data):
        for begin in range(0, len(data), PIECE_BYTES):
            piece = data[begin:begin + PIECE_BYTES]
            self.turn.send(len(piece), self.pass_on, piece)

    def pass_on(self, data):
        if not self.transport.is_closing():
            self.transport.write(data)

    def close(self):
        self.turn.send(0, self.transport.close)

    def abort(self):
        self.aborted = True
        self.transport.abort()


class NarrowProtocol(asyncio.StreamReaderProtocol):
    """A connection to a server; the address that it calls tells whose link carries it."""

    def __init__(self, serve, links):
        """@param links those of each host by the address at which it calls; others are not limited"""
        super().__init__(asyncio.StreamReader(), serve)
        self.links = links
        self.narrow = None
        self.turn = None

    def connection_made(self, transport):
        links = self.links.get(transport.get_extra_info("sockname")[0])
        if links:
            self.turn = InTurn(links["forth"])
            transport = self.narrow = NarrowTransport(transport, links["back"])
        super().connection_made(transport)

    def data_received(self, data):
        if self.turn:
            self.turn.send(len(data), self.arrive, data)
        else:
            super().data_received(data)

    def arrive(self, data):
        # A server that has crashed reads nothing more; a caller that has ended does not take back what it has sent.
        if not self.narrow.aborted:
            super().data_received(data)

    def eof_received(self):
        if not self.turn:
            return super().eof_received()
        self.turn.send(0, super().eof_received)
        return True

    def connection_lost(self, error):
        if self.turn and not self.narrow.aborted:
            self.turn.send(0, super().connection_lost, error)
        else:
            super().connection_lost(error)


async def serve_narrow(serve, listener, links):
    """As asyncio.start_server(), for a listening socket."""
    return await asyncio.get_running_loop().create_server(lambda: NarrowProtocol(serve, links), sock=listener)
