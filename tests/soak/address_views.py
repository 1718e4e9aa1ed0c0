"""Addresses as each node sees them. A node reaches the others and the workers at addresses of its own, so what one node
passes on to another, as an answer of the store that it has asked for it, has to be translated on the way."""
import asyncio
import base64
import re

from faulty_platform import SALT, Pipe, Relay

FIRST_VIEW, FIRST_OWN, FIRST_WORKERS = 101, 100, 129  # see nodes.Node
ADDRESS = re.compile(rb"127\.(\d\d\d)\.%d\.(\d{1,3}):" % SALT)
# The end of a chunk that may be the beginning of an address.
BEGINNING = re.compile(rb"(127\.(\d{0,3}|\d\d\d\.\d{0,3}|\d\d\d\.%d\.\d{0,3})|127|12|1)\Z" % SALT)
LONGEST = len("127.100.250.133")
# Values of a page of newest records. Longer ones, as that of the configuration, hold no addresses.
LONGEST_VALUE = 2_000
VALUE = re.compile(rb'(?<=value": ")[A-Za-z0-9+/=]{1,%d}(?=")' % LONGEST_VALUE)
OPEN_VALUE = re.compile(rb'(value": "[A-Za-z0-9+/=]{0,%d}|v|va|val|valu|value|value"|value":|value": )\Z'
                        % LONGEST_VALUE)
WAIT_FOR_REST_S = 0.1


def translate(content, seen_by, told):
    """@return what node `seen_by` says, with the addresses as node `told` sees them; of the same length"""

    def one(match):
        network, host = int(match[1]), int(match[2])
        if host == 1 and network == FIRST_WORKERS + seen_by:
            network = FIRST_WORKERS + told
        elif network == FIRST_VIEW + seen_by or (network == FIRST_OWN and host == FIRST_OWN + seen_by):
            network = FIRST_OWN if host == FIRST_OWN + told else FIRST_VIEW + told
        return b"127.%d.%d.%d:" % (network, SALT, host)

    return ADDRESS.sub(one, content)


def translate_values(content, seen_by, told):
    """As translate(), for values in base64."""

    def one(match):
        try:
            return base64.b64encode(translate(base64.b64decode(match[0]), seen_by, told))
        except ValueError:
            return match[0]  # is no base64

    return VALUE.sub(one, content)


class ViewPipe(Pipe):
    """One side of a connection between nodes."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.rest = b""  # not passed on yet

    def data_received(self, data):
        if not self.relay.views or not self.other:
            super().data_received(data)
            return
        caller, called = self.relay.views
        seen_by, told = (called, caller) if self.direction == "back" else (caller, called)
        data = self.rest + data
        part = OPEN_VALUE.search(data, max(0, len(data) - LONGEST_VALUE - len('value": "'))) or \
            BEGINNING.search(data, max(0, len(data) - LONGEST))
        self.rest = part[0] if part else b""
        if part:
            data = data[:part.start()]
            asyncio.get_running_loop().call_later(WAIT_FOR_REST_S, self.flush, self.rest)
        if data:
            super().data_received(translate_values(translate(data, seen_by, told), seen_by, told))

    def flush(self, rest):
        """Passes on what was no address after all."""
        if rest and rest == self.rest:
            self.rest = b""
            super().data_received(rest)

    def connection_lost(self, error):
        self.flush(self.rest)
        super().connection_lost(error)


class PeerRelay(Relay):
    """A relay from one node to another."""

    pipe = ViewPipe

    def __init__(self, target, caller, called):
        """@param caller number of the node that connects, and `called` of the one that it reaches"""
        super().__init__(target)
        self.views = caller, called
