"""Ensures that requests run at most once, even if a router crashes, and stores the retry budget.

``key_record``, ``ledger``, ``recovery``, ``store_generation``, ``witnesses`` and ``digest`` make decisions
without I/O and without a clock; they return changes to the store as keys and values. ``coordinator`` and its
components (``request_guard``, ``waiting_requests``, ``store_opening``, ``recovery_runner``,
``ledger_writer``, ``retry_budget``) carry the decisions out.
"""
