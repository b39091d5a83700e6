"""The Hypothesis state machine for both kinds of simulated world."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from bendshed.rehearsal.search import MAX_WHICH, Game, Step

numbers = st.integers(0, MAX_WHICH - 1)
amounts = st.integers(0, 10).map(lambda tenths: tenths / 10)


def build_state_machine(
    game: Game,  # type: ignore[type-arg]
    action_groups: dict[str, tuple[Any, ...]],
) -> type[RuleBasedStateMachine]:
    """Run steps of each group in any order, then heal all faults and let the oracle check."""

    class Machine(RuleBasedStateMachine):
        world: Any = None

        @initialize(seed=st.integers(0, 1000))
        def start(self, seed: int) -> None:
            self.world = game.start(seed)

        def teardown(self) -> None:
            if self.world is None:
                return
            try:
                violations = self.world.settle()
                assert not violations, violations
            finally:
                self.world.close()

    for name, actions in action_groups.items():

        def apply_action(self: Machine, action: Any, which: int, amount: float) -> None:
            game.apply(self.world, Step(action, which, amount))

        apply_action.__name__ = name
        chosen_action = st.sampled_from(actions)
        setattr(
            Machine, name, rule(action=chosen_action, which=numbers, amount=amounts)(apply_action)
        )
    return Machine


def stateful_settings(examples: int, steps: int) -> settings:
    """Return the loaded settings profile with these numbers of examples and steps."""
    return settings(max_examples=examples, stateful_step_count=steps)
