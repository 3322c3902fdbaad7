"""Helpers for the contracts in ``tests/contracts``.

A contract is a state machine that hypothesis runs. Its checks raise ``Broken`` with the number of the
obligation that is not met.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


class Broken(AssertionError):
    """An obligation is not met."""

    def __init__(self, number: str, reason: str) -> None:
        super().__init__(f"{number}: {reason}")
        self.number = number


def held(is_met: object, number: str, reason: str = "") -> None:
    """Raise ``Broken`` if an obligation is not met."""
    if not is_met:
        raise Broken(number, reason)


def run_contract(
    machine: type[RuleBasedStateMachine],
    examples: int,
    steps: int = 30,
    phases: tuple[Phase, ...] = (Phase.generate, Phase.shrink),
) -> None:
    """Run a state machine with the same choices every time; raises the failure in its shortest form."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            derandomize=True,
            database=None,
            phases=phases,
            report_multiple_bugs=False,
        ),
    )


def broken_obligation(run: Callable[[], object]) -> str:
    """The number of the obligation that a run finds broken; empty if there is none."""
    try:
        run()
    except Broken as broken:
        return broken.number
    return ""


def first_broken_obligation(
    machine: type[RuleBasedStateMachine], examples: int = 1000, steps: int = 30
) -> str:
    """The number of the first obligation that a state machine finds broken.

    The number of examples is much larger than usual: hypothesis draws constants from all loaded modules, so
    the examples depend on the tests that the same process ran before.
    """
    return broken_obligation(lambda: run_contract(machine, examples, steps, (Phase.generate,)))


def suite(
    contract: type[RuleBasedStateMachine] | None,
    implementations: Mapping[str, tuple[Any, int]],
    faulty: Iterable[type],
    steps: int = 30,
    broken: Callable[[type], Any] = lambda component: component,
) -> tuple[Callable[..., None], Callable[..., None]]:
    """Create the two tests of a contract.

    The first checks that each implementation meets the contract, in the given number of histories. The second
    checks that each faulty component breaks the obligation whose number its docstring begins with; ``broken``
    makes an implementation of the component. A contract creates the object under test with its ``make``;
    if ``contract`` is None, the implementations are state machines themselves.
    """

    def machine(make: Any) -> type[RuleBasedStateMachine]:
        return type("Machine", (contract,), {"make": staticmethod(make)}) if contract else make

    @pytest.mark.parametrize("name", implementations)
    def test_implementation(name: str) -> None:
        make, examples = implementations[name]
        run_contract(machine(make), examples, steps)

    @pytest.mark.parametrize("part", faulty, ids=lambda component: component.__name__)
    def test_faulty_component(part: type) -> None:
        assert part.__doc__ is not None
        assert first_broken_obligation(machine(broken(part)), steps=steps) == part.__doc__[:2]

    return test_implementation, test_faulty_component


def with_component(component: type, places: Iterable[tuple[type, type, str]]) -> type:
    """A subclass of the class that uses this kind of component, with the component in place of its own.

    ``places`` lists classes that use a component, the base class of the component, and its attribute.
    """
    return next(
        type(component.__name__, (owner,), {name: component})
        for owner, base, name in places
        if issubclass(component, base)
    )
