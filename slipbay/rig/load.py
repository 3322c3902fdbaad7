"""Clients: they send the load of a scenario and check the answer to each request."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable, Iterator, Sequence
from random import Random
from typing import Any

from slipbay.rig.checker import Answer, RunReport, check_scattered_answer
from slipbay.rig.platform import CLASSES, SURVEY
from slipbay.rig.process import RouterIncarnation, RouterProcess
from slipbay.rig.report import ClientRequest
from slipbay.rig.scenario import Scenario, Tenant
from slipbay.rig.standins import HOST

ANSWER_WAIT_S = 20.0  # s after its deadline, when a client counts an answer as lost
# a connection that stays idle for this long after it is accepted may be closed; the client then sends again
IDLE_CLOSE_S = 1.0
# s by which an answer may be late, besides the time for which the host delayed the router and the rig
CLIENT_SLACK_S = 0.3


class Clients:
    """Sends each request on a connection of its own to a router that is ready.

    Each request must receive one complete answer in time, unless its router ends.
    """

    def __init__(
        self,
        script: Scenario,
        routers: list[RouterProcess],
        run_report: RunReport,
        random: Random,
        host_delay_s: Callable[[float], float],
    ) -> None:
        """Create clients; ``host_delay_s`` returns the seconds of delay by the host since a time."""
        self.script = script
        self.routers = routers
        self.run_report = run_report
        self.random = random
        self._host_delay_s = host_delay_s
        self._survey = script.survey
        # table groups in the answers to scattered queries
        self._present_groups: dict[str, tuple[int, ...]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        self._began = 0.0

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._began

    def _generate_requests(self) -> Iterator[tuple[float, Tenant, str]]:
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
        for at, tenant, name in self._generate_requests():
            load = self.script.load
            mean = load.lookup_ms if name in ("lookup", SURVEY) else load.report_ms
            work = mean * (self.random.expovariate(1.0) if load.work == "exponential" else 1.0)
            router_numbers = tenant.routers or range(len(self.routers))
            await asyncio.sleep(max(0.0, at - self._now()))
            client_request = ClientRequest(
                at, name, tenant.name, self.random.choice(router_numbers), work_ms=max(5, int(work))
            )
            self.run_report.client_requests.append(client_request)
            task = loop.create_task(
                self._send_request(client_request, router_numbers, client_request.work_ms)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _choose_incarnation(self, number: int, router_numbers: Sequence[int]) -> RouterIncarnation | None:
        """Choose a process of that router, or of another of the client's routers if that one is not ready."""
        ready = self.routers[number].ready or [
            incarnation for n in router_numbers for incarnation in self.routers[n].ready
        ]
        return self.random.choice(ready) if ready else None

    async def _send_request(
        self, client_request: ClientRequest, router_numbers: Sequence[int], work_ms: int
    ) -> None:
        """Make all attempts for a request; its duration counts from the first attempt."""
        load = self.script.load
        keyed = bool(self.script.store) and client_request.service_class == "ticket-load"
        number = client_request.router
        txn = ""
        failures = 0
        while True:
            incarnation = self._choose_incarnation(number, router_numbers)
            client_request.attempts += 1
            if incarnation is None:
                client_request.outcome = "unreached"
                return
            if not txn:
                self._request_count += 1
                txn = f"{self._request_count:016x}"
            answer = await self._attempt(client_request, incarnation, txn, work_ms)
            client_request.outcome, client_request.duration_s = (
                answer.outcome,
                self._now() - client_request.at,
            )
            failures += answer.outcome == "failed"
            if client_request.attempts >= load.tries or failures > 1:
                return
            if answer.outcome == "refused":
                if not load.honour_later:
                    return
                txn = txn if keyed else ""  # a repeated attempt without a key is a request of its own
                await asyncio.sleep(answer.retry_after_s or 0.0)
            elif (
                not keyed
                or answer.outcome == "served"
                or not await self._wait_until_ready(incarnation.router)
            ):
                return
            if keyed:
                # only this router has the key record
                number, router_numbers = incarnation.router.number, [incarnation.router.number]

    async def _wait_until_ready(self, router: RouterProcess) -> bool:
        """Wait until a router is ready again; return False if the scenario does not start it again."""
        while not router.ready:
            if not router.alive and self._now() > self.script.seconds:
                return False
            await asyncio.sleep(0.05)
        return True

    async def _attempt(
        self, client_request: ClientRequest, incarnation: RouterIncarnation, txn: str, work_ms: int
    ) -> Answer:
        name = client_request.service_class
        asked = self._now()
        for _ in range(5):
            outcome, retry_after_s = await self._exchange(incarnation, client_request, txn, work_ms)
            if outcome != "unsaid":
                break
        answer = Answer(
            txn,
            name,
            client_request.tenant,
            incarnation.router.number,
            incarnation.number,
            asked,
            self._now(),
            outcome,
            retry_after_s,
            client_request.attempts > 1,
            self.run_report.execution_log.runs[txn],
            self._present_groups.pop(txn, ()),
        )
        self.run_report.answers.append(answer)
        if incarnation.ready:  # the router is neither ended nor stopped, so it must send a complete answer
            if outcome == "unreached":
                self.run_report.faults.append(f"router {incarnation.router.number} takes no connection")
            if outcome in ("cut", "silent"):
                self.run_report.faults.append(
                    f"lost: {txn} ({name}) {outcome} at router {incarnation.router.number}"
                )
        return answer

    async def _exchange(
        self, incarnation: RouterIncarnation, client_request: ClientRequest, txn: str, work_ms: int
    ) -> tuple[str, float | None]:
        name = client_request.service_class
        deadline_s = CLASSES[name].deadline_s
        began = self._now()
        statement = f"SELECT {work_ms}"
        work = work_ms
        if name == SURVEY and self._survey is not None:
            statement += f" FROM sales_{self._survey.mark}.orders -- of {txn}"
            work *= len(self._survey.groups)
        params = {
            "txn": txn,
            "limit": int(deadline_s * 1000),
            "cpu": float(work),
            "team": client_request.tenant,
            **({"second": 1} if client_request.attempts > 1 else {}),
            "data": base64.b64encode(statement.encode()).decode(),
        }
        message = {"jsonrpc": "2.0", "id": 1, "method": name, "params": params}
        try:
            reader, writer = await asyncio.open_connection(HOST, incarnation.port)
        except OSError:
            return "unreached", None
        asked = self._now()
        try:
            writer.write(json.dumps(message).encode() + b"\n")
            line = await asyncio.wait_for(reader.readline(), deadline_s + ANSWER_WAIT_S)
            since = self._began + began
            allowed_s = deadline_s + CLIENT_SLACK_S + self._host_delay_s(since) + incarnation.stopped_s(since)
            if not line:
                return ("unsaid" if asked - began > IDLE_CLOSE_S else "cut"), None
            duration_s = self._now() - began
            if duration_s > allowed_s:
                self.run_report.faults.append(
                    f"late: {txn} ({name}) after {duration_s:.2f} s at n{incarnation.router.number}, "
                    f"allowed {allowed_s:.2f}"
                )
            result = self._read_answer(txn, name, json.loads(line))
            if await self._has_more_data(reader):
                self.run_report.faults.append(f"answered twice: {txn}")
            return result
        except TimeoutError:
            return "silent", None
        except (OSError, ValueError):
            return "cut", None
        finally:
            writer.transport.abort()

    async def _has_more_data(self, reader: asyncio.StreamReader) -> bool:
        """Whether the router sends more than the one answer."""
        try:
            return bool(await asyncio.wait_for(reader.read(1), 0.02))
        except (OSError, TimeoutError):
            return False

    def _read_answer(self, txn: str, name: str, answer: dict[str, Any]) -> tuple[str, float | None]:
        if "result" in answer and name == SURVEY and self._survey is not None:
            self.run_report.faults += check_scattered_answer(
                self.run_report.execution_log, txn, self._survey, answer["result"]
            )
            self._present_groups[txn] = tuple(answer["result"].get("parts", {}).get("present", ()))
            return "served", None
        if "result" in answer:
            body = base64.b64decode(answer["result"]["data"]).decode()
            if not body.startswith(f"{txn}\t") or not body.endswith("\tdone\n"):
                self.run_report.faults.append(f"served with what no engine made for it: {txn}")
            return "served", None
        error = answer.get("error", {})
        if error.get("code") == -32002:
            return "refused", error.get("data", {}).get("later", 0) / 1000
        return "failed", None
