"""What the disturbances share."""
import contextlib

SETTLE_S = 1.0  # after a disturbance, until what it has held up is through


def touch(world, nodes, seconds, core=False):
    """Marks nodes, or all of them for None, as disturbed for so long.
    @param core the store is unstable, but neither down nor slow, and loses no answers"""
    until = world.now() + seconds + SETTLE_S
    for node in nodes or []:
        node.touched = max(node.touched, until)
    if core:
        world.disturb_core(until)
    elif nodes is None:
        world.disturbed_until = max(world.disturbed_until, until)


def some(random, items, most):
    return random.sample(items, min(len(items), random.randint(1, most)))


@contextlib.contextmanager
def taken(nodes):
    """The nodes whose processes no other disturbance has in hand."""
    nodes = [node for node in nodes if not node.held]
    for node in nodes:
        node.held = True
    try:
        yield nodes
    finally:
        for node in nodes:
            node.held = False
