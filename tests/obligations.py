"""What the contracts of ``tests/contracts`` share: an obligation that is not met says its number, and a
machine that hypothesis drives is run until it finds one."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


class Broken(AssertionError):
    """An obligation is not met."""

    def __init__(self, number: str, told: str) -> None:
        super().__init__(f"{number}: {told}")
        self.number = number


def held(kept: object, number: str, told: str = "") -> None:
    if not kept:
        raise Broken(number, told)


def keeps(
    machine: type[RuleBasedStateMachine],
    examples: int,
    steps: int = 30,
    phases: tuple[Phase, ...] = (Phase.generate, Phase.shrink),
) -> None:
    """Drive a machine with the same choices every time; raises what it finds, made small."""
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


def found_by(run: Callable[[], object]) -> str:
    """The number of the obligation that a run finds broken; "" for none."""
    try:
        run()
    except Broken as broken:
        return broken.number
    return ""


def found_in(machine: type[RuleBasedStateMachine], examples: int = 1000, steps: int = 30) -> str:
    """It stops at the first. Far more examples than are usual: hypothesis takes constants of all modules
    that were loaded into its draws, so they differ with what the same process tested before."""
    return found_by(lambda: keeps(machine, examples, steps, (Phase.generate,)))


def suite(
    contract: type[RuleBasedStateMachine] | None,
    implementations: Mapping[str, tuple[Any, int]],
    faulty: Iterable[type],
    steps: int = 30,
    broken: Callable[[type], Any] = lambda part: part,
) -> tuple[Callable[..., None], Callable[..., None]]:
    """The two tests of a contract: each implementation keeps it in so many histories, and each faulty part,
    made an implementation by ``broken``, breaks the obligation that its docstring begins with. A contract
    takes what it drives from its ``make``; without one the implementations are machines themselves."""

    def machine(make: Any) -> type[RuleBasedStateMachine]:
        return type("Machine", (contract,), {"make": staticmethod(make)}) if contract else make

    @pytest.mark.parametrize("name", implementations)
    def keeps_it(name: str) -> None:
        make, examples = implementations[name]
        keeps(machine(make), examples, steps)

    @pytest.mark.parametrize("part", faulty, ids=lambda part: part.__name__)
    def is_found(part: type) -> None:
        assert part.__doc__ is not None
        assert found_in(machine(broken(part)), steps=steps) == part.__doc__[:2]

    return keeps_it, is_found


def with_part(part: type, places: Iterable[tuple[type, type, str]]) -> type:
    """A subclass of the first of ``places`` whose kind of part it is, with the part in it."""
    return next(
        type(part.__name__, (base,), {name: part}) for base, of, name in places if issubclass(part, of)
    )
