"""A policy service that takes its time: one call at a time for each calling machine, in turn. A call whose caller has
closed the connection by its turn is skipped and takes no time."""
import asyncio
import json

import case  # noqa: F401  sets the path of the project's stand-ins
from users_platform import HttpServer, dump

MAX_WAITING = 32  # calls; further ones are answered 429


class Server(HttpServer):
    """Shows the handler of a call whether the caller has left."""

    async def serve(self, reader, writer):
        asyncio.current_task().caller = reader
        await super().serve(reader, writer)


class SlowPolicyService:
    """Allows all workers. A call takes decision_ms, and period_ms more for each worker that it names."""

    def __init__(self, decision_ms, period_ms, validity_ms):
        self.advice = {"decisionMs": decision_ms, "periodMs": period_ms, "validityMs": validity_ms}
        self.turns = {}  # by machine
        self.waiting = {}
        self.answered = self.refused = self.skipped = 0
        self.http = Server(self.handle)

    @staticmethod
    def ticket(step, worker):
        return f"t-{step}-{worker}"

    async def handle(self, method, path, query, headers, body):
        order = json.loads(body)
        machine = headers[":peer"]
        turn = self.turns.setdefault(machine, asyncio.Lock())
        if self.waiting.get(machine, 0) >= MAX_WAITING:
            self.refused += 1
            return 429, b"{}"
        self.waiting[machine] = self.waiting.get(machine, 0) + 1
        async with turn:
            self.waiting[machine] -= 1
            if asyncio.current_task().caller.at_eof():
                self.skipped += 1
                return None
            await asyncio.sleep((self.advice["decisionMs"] + self.advice["periodMs"] * len(order["workers"])) / 1000)
        self.answered += 1
        return 200, dump({"allowedWorkers": [[worker, self.ticket(order["step"], worker)]
                                             for worker in order["workers"]],
                          "validityMs": self.advice["validityMs"]})
