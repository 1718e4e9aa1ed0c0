"""What callers asked of an earlier version before its nodes were replaced. `record` plays it with the program of such
a version and keeps what the store and the workers hold; `run` starts nodes of this version over that."""

JOBS = [f"f{number:015x}" for number in range(6)]
CANCELLED = "f00000000000000c"
LATER = [f"e{number:015x}" for number in range(4)]  # accepted after the change of a case
TASKS = 2  # of each job
TASK_S = 8.0
BODY = {"spec": "lot", "steps": [{"count": TASKS, "cpu": 500, "memMb": 256, "estimateMs": int(TASK_S * 1000)}]}
DESKS = [("desk-a", False), ("desk-b", False)]
# A service before the others in the order of names moves the places of all others in the list.
MORE_DESKS = [("aa-desk", False), *DESKS]


class Case:
    """One state of the store. `services` and `leads` (service by prefix) hold when the nodes are replaced; a change
    before that is published after JOBS were accepted, and LATER are accepted after it."""

    def __init__(self, services, leads, first_services=DESKS, later=()):
        self.first_services = first_services
        self.services = services
        self.leads = leads
        self.later = later

    @property
    def jobs(self):
        return [*JOBS, *self.later]


CASES = {
    "at-work": Case(DESKS, "desk-a"),
    "path-moved-before": Case(DESKS, "desk-b"),
    "list-changed-before": Case(MORE_DESKS, "desk-a"),
    "list-changed-and-more-jobs": Case(MORE_DESKS, "desk-a", later=LATER),
}
