"""Tracks queries from arrival until they are answered and all their attempts have ended. Times are in us."""

from __future__ import annotations

from collections.abc import Sequence

from slipbay.policy.actions import Fail, Reject
from slipbay.policy.events import QueryArrived
from slipbay.policy.key_queues import KeyQueues
from slipbay.policy.outbox import Outbox
from slipbay.policy.records import ClassState, Query
from slipbay.policy.retries import RetryPolicy
from slipbay.policy.settings import Effect, Scope, Settings


class OpenQueries:
    """The open queries; gives each query exactly one final answer."""

    def __init__(
        self,
        settings: Settings,
        classes: Sequence[ClassState],
        key_queues: KeyQueues,
        retries: RetryPolicy,
        outbox: Outbox,
    ) -> None:
        self.settings = settings
        self.classes = classes
        self.key_queues = key_queues
        self.retries = retries
        self.outbox = outbox
        self.by_id: dict[int, Query] = {}
        # time by which all queries must be answered because the process ends
        self.shutdown_us: int | None = None

    def register(self, event: QueryArrived, now_us: int) -> Query:
        """Create the record of a new query; estimates its cost if the client has given no estimate."""
        class_state = self.classes[event.service_class]
        spec = class_state.spec
        estimated_cost = float(
            event.estimated_cost_us or class_state.estimated_costs.value() or spec.latency_objective_us
        )
        deadline_us = now_us + event.expires_in_us
        if self.shutdown_us is not None:
            deadline_us = min(deadline_us, self.shutdown_us)
        query = Query(
            id=event.query,
            class_state=class_state,
            arrived_us=now_us,
            deadline_us=deadline_us,
            estimated_cost=estimated_cost,
            cost=estimated_cost * class_state.cost_bias.value(1.0),
            group=event.group,
            key=event.order_key if spec.in_order else 0,
        )
        if event.estimated_cost_us:
            query.min_run_us = class_state.run_time(query.cost)
        self.by_id[query.id] = query
        class_state.open_queries[query.id] = query
        class_state.largest_cost = max(class_state.largest_cost, query.cost)
        return query

    def queue_query(self, query: Query, now_us: int) -> None:
        """Queue an admitted query for an engine, after the other queries of its order key if it has one."""
        query.class_state.add_queued_cost(query)
        if query.key:
            self.key_queues.enqueue(query, now_us)
        else:
            query.class_state.queue.append(query)

    def limit_deadlines(self, by_us: int) -> None:
        """Limit the deadlines of open and new queries to ``by_us``, as the process ends then."""
        self.shutdown_us = by_us
        for query in self.by_id.values():
            query.deadline_us = min(query.deadline_us, by_us)

    def answer(self, query: Query, now_us: int) -> None:
        """Give the final answer: rejected if the client may safely retry, failed otherwise."""
        if query.is_answered:
            return
        if self._may_client_retry(query):
            self.outbox.add(Reject(query.id, self.settings.max_retry_after_us // 2))
        else:
            self.outbox.add(Fail(query.id))
        self.close(query, now_us)

    def _may_client_retry(self, query: Query) -> bool:
        """Whether the client may retry without the risk that the query takes effect twice."""
        spec = query.class_state.spec
        if query.may_have_run_since_us is None and not query.in_flight:
            return True
        if spec.effect is Effect.KEYED:
            return spec.dedup_scope is Scope.ALL
        return spec.effect is Effect.SAFE

    def answer_all(self, now_us: int) -> None:
        """Give all open queries their final answer."""
        for query in list(self.by_id.values()):
            self.answer(query, now_us)

    def close(self, query: Query, now_us: int, keep_attempt: int = -1) -> None:
        """Mark the query as answered and cancel its attempts except ``keep_attempt``."""
        query.is_answered = True
        query.class_state.open_queries.pop(query.id, None)
        query.class_state.dequeue(query)
        if query.in_flight:
            for attempt in list(query.in_flight.values()):
                if attempt.number != keep_attempt:
                    self.retries.cancel(attempt)
        self.remove_if_ended(query, now_us)

    def remove_if_ended(self, query: Query, now_us: int) -> None:
        """Remove the record if the query is answered and no attempt is in flight."""
        if query.is_answered and not query.in_flight:
            self.by_id.pop(query.id, None)
            self.outbox.cancel_timer(query.deadline_timer)
            self.key_queues.finish(query, now_us)
