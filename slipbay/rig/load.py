"""Clients: they send the load of a scenario and check the answer to each request."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable, Iterator, Sequence
from random import Random
from typing import Any

from slipbay.rig.checker import Answer, Verdict, gathered
from slipbay.rig.platform import CLASSES, SURVEY
from slipbay.rig.process import RouterIncarnation, RouterProcess
from slipbay.rig.report import Wish
from slipbay.rig.scenario import Scenario, Tenant
from slipbay.rig.standins import HOST

LOST_S = 20.0  # s after its deadline, when a client counts an answer as lost
# a connection that stays idle for this long after it is accepted may be closed; the client then sends again
FIRST_S = 1.0
# s by which an answer may be late, besides the time for which the host delayed the router and the rig
SLACK_S = 0.3


class Clients:
    """Sends each request on a connection of its own to a router that is ready.

    Each request must receive one complete answer in time, unless its router ends.
    """

    def __init__(
        self,
        script: Scenario,
        routers: list[RouterProcess],
        verdict: Verdict,
        random: Random,
        held_up: Callable[[float], float],
    ) -> None:
        """Create clients; ``held_up`` returns for how many seconds the host delayed the rig since a time."""
        self.script = script
        self.routers = routers
        self.verdict = verdict
        self.random = random
        self._held_up = held_up
        self._survey = script.survey
        self._present: dict[str, tuple[int, ...]] = {}  # table groups in the answers to scattered queries
        self._open: set[asyncio.Task[None]] = set()
        self._count = 0
        self._began = 0.0

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._began

    def _wishes(self) -> Iterator[tuple[float, Tenant, str]]:
        """Yield time, tenant and class of each request, at random at the rates of the scenario."""
        sources = [
            (tenant, name, rate)
            for tenant in self.script.load.sources
            for name, rate in (
                ("lookup", tenant.lookups),
                ("report", tenant.reports),
                ("ticket-load", tenant.loads),
                (SURVEY, tenant.surveys),
            )
            if rate
        ]
        total = sum(rate for *_, rate in sources)
        at = 0.0
        while total and (at := at + self.random.expovariate(total)) < self.script.seconds:
            tenant, name, _ = self.random.choices(sources, [rate for *_, rate in sources])[0]
            if tenant.since_s <= at < tenant.until_s:
                yield at, tenant, name

    async def run(self, began: float) -> None:
        """Send all of the load and wait for the last answer. ``began`` is a time of the event loop's clock
        in s.
        """
        loop = asyncio.get_running_loop()
        self._began = began
        for at, tenant, name in self._wishes():
            load = self.script.load
            mean = load.lookup_ms if name in ("lookup", SURVEY) else load.report_ms
            work = mean * (self.random.expovariate(1.0) if load.work == "exponential" else 1.0)
            places = tenant.routers or range(len(self.routers))
            await asyncio.sleep(max(0.0, at - self._now()))
            wish = Wish(at, name, tenant.name, self.random.choice(places), work_ms=max(5, int(work)))
            self.verdict.wishes.append(wish)
            task = loop.create_task(self._want(wish, places, wish.work_ms))
            self._open.add(task)
            task.add_done_callback(self._open.discard)
        while self._open:
            await asyncio.wait(self._open)

    def _find(self, number: int, places: Sequence[int]) -> RouterIncarnation | None:
        """Choose a process of that router, or of another of the client's routers if that one is not ready."""
        ready = self.routers[number].ready or [life for n in places for life in self.routers[n].ready]
        return self.random.choice(ready) if ready else None

    async def _want(self, wish: Wish, places: Sequence[int], work_ms: int) -> None:
        """Make all attempts for a request; its duration counts from the first attempt."""
        load = self.script.load
        keyed = bool(self.script.store) and wish.service_class == "ticket-load"
        number = wish.router
        txn = ""
        fails = 0
        while True:
            life = self._find(number, places)
            wish.tries += 1
            if life is None:
                wish.outcome = "unreached"
                return
            if not txn:
                self._count += 1
                txn = f"{self._count:016x}"
            answer = await self._ask(wish, life, txn, work_ms)
            wish.outcome, wish.took_s = answer.outcome, self._now() - wish.at
            fails += answer.outcome == "failed"
            if wish.tries >= load.tries or fails > 1:
                return
            if answer.outcome == "refused":
                if not load.honour_later:
                    return
                txn = txn if keyed else ""  # a repeated attempt without a key is a request of its own
                await asyncio.sleep(answer.later_s or 0.0)
            elif not keyed or answer.outcome == "served" or not await self._back(life.router):
                return
            if keyed:
                # only this router has the key record
                number, places = life.router.number, [life.router.number]

    async def _back(self, router: RouterProcess) -> bool:
        """Wait until a router is ready again; return False if the scenario does not start it again."""
        while not router.ready:
            if not router.alive and self._now() > self.script.seconds:
                return False
            await asyncio.sleep(0.05)
        return True

    async def _ask(self, wish: Wish, life: RouterIncarnation, txn: str, work_ms: int) -> Answer:
        name = wish.service_class
        asked = self._now()
        for _ in range(5):
            outcome, later = await self._exchange(life, wish, txn, work_ms)
            if outcome != "unsaid":
                break
        answer = Answer(
            txn,
            name,
            wish.tenant,
            life.router.number,
            life.number,
            asked,
            self._now(),
            outcome,
            later,
            wish.tries > 1,
            self.verdict.book.runs[txn],
            self._present.pop(txn, ()),
        )
        self.verdict.answers.append(answer)
        if life.ready:  # the router is neither ended nor stopped, so it must send a complete answer
            if outcome == "unreached":
                self.verdict.faults.append(f"router {life.router.number} takes no connection")
            if outcome in ("cut", "silent"):
                self.verdict.faults.append(f"lost: {txn} ({name}) {outcome} at router {life.router.number}")
        return answer

    async def _exchange(
        self, life: RouterIncarnation, wish: Wish, txn: str, work_ms: int
    ) -> tuple[str, float | None]:
        name = wish.service_class
        limit_s = CLASSES[name].limit_s
        began = self._now()
        statement = f"SELECT {work_ms}"
        work = work_ms
        if name == SURVEY and self._survey is not None:
            statement += f" FROM sales_{self._survey.mark}.orders -- of {txn}"
            work *= len(self._survey.groups)
        params = {
            "txn": txn,
            "limit": int(limit_s * 1000),
            "cpu": float(work),
            "team": wish.tenant,
            **({"second": 1} if wish.tries > 1 else {}),
            "data": base64.b64encode(statement.encode()).decode(),
        }
        message = {"jsonrpc": "2.0", "id": 1, "method": name, "params": params}
        try:
            reader, writer = await asyncio.open_connection(HOST, life.port)
        except OSError:
            return "unreached", None
        asked = self._now()
        try:
            writer.write(json.dumps(message).encode() + b"\n")
            line = await asyncio.wait_for(reader.readline(), limit_s + LOST_S)
            since = self._began + began
            allowed = limit_s + SLACK_S + self._held_up(since) + life.stood_s(since)
            if not line:
                return ("unsaid" if asked - began > FIRST_S else "cut"), None
            took = self._now() - began
            if took > allowed:
                self.verdict.faults.append(
                    f"late: {txn} ({name}) after {took:.2f} s at n{life.router.number}, allowed {allowed:.2f}"
                )
            found = self._read(txn, name, json.loads(line))
            if await self._more(reader):
                self.verdict.faults.append(f"answered twice: {txn}")
            return found
        except TimeoutError:
            return "silent", None
        except (OSError, ValueError):
            return "cut", None
        finally:
            writer.transport.abort()

    async def _more(self, reader: asyncio.StreamReader) -> bool:
        """Whether the router sends more than the one answer."""
        try:
            return bool(await asyncio.wait_for(reader.read(1), 0.02))
        except (OSError, TimeoutError):
            return False

    def _read(self, txn: str, name: str, answer: dict[str, Any]) -> tuple[str, float | None]:
        if "result" in answer and name == SURVEY and self._survey is not None:
            self.verdict.faults += gathered(self.verdict.book, txn, self._survey, answer["result"])
            self._present[txn] = tuple(answer["result"].get("parts", {}).get("present", ()))
            return "served", None
        if "result" in answer:
            body = base64.b64decode(answer["result"]["data"]).decode()
            if not body.startswith(f"{txn}\t") or not body.endswith("\tdone\n"):
                self.verdict.faults.append(f"served with what no engine made for it: {txn}")
            return "served", None
        error = answer.get("error", {})
        if error.get("code") == -32002:
            return "refused", error.get("data", {}).get("later", 0) / 1000
        return "failed", None
