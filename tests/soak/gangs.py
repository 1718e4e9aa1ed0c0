"""The members of gangs on the workers: they work once all of one run are present, and end together."""
import asyncio


class Gangs:
    """Who of each gang and run is present. A gang is a step of a job."""

    def __init__(self, size_of, run_time, wait_s):
        """@param size_of tells the members of a task's gang, 0 if it is in none
        @param run_time tells how long a task works
        @param wait_s gangMs: a member that waits so long for the others ends `alone`"""
        self.size_of, self.run_time, self.wait_s = size_of, run_time, wait_s
        self.present = {}  # (step, run): {task: worker}

    def joins(self, worker, task, run):
        size = self.size_of(task)
        if not size:
            return
        key = task.rsplit(".", 1)[0], run
        members = self.present.setdefault(key, {})
        members[task] = worker
        loop = asyncio.get_running_loop()
        if len(members) == size:
            loop.call_later(self.run_time(task), self.end_all, key, dict(members), "done")
        else:
            loop.call_later(self.wait_s, self.end_alone, key, size, task, worker)

    def leaves(self, worker, task, run):
        """A member has ended, or its process has: the others end as `broken` if they were at work."""
        key = task.rsplit(".", 1)[0], run
        members = self.present.get(key, {})
        if members.get(task) is not worker:
            return
        at_work = len(members) == self.size_of(task)
        del members[task]
        if at_work:
            self.end_all(key, dict(members), "broken")

    def end_alone(self, key, size, task, worker):
        members = self.present[key]
        if members.get(task) is worker and len(members) < size:
            del members[task]
            self.end_one(key, task, worker, "alone")

    def end_all(self, key, members, how):
        """Ends the members if they are all as they were."""
        if not members or self.present[key] != members:
            return
        self.present[key] = {}
        for task, worker in members.items():
            self.end_one(key, task, worker, how)

    @staticmethod
    def end_one(key, task, worker, how):
        if worker.alive and worker.running.get(task, [0])[0] == key[1]:
            worker.end(task, how)
