"""Mechanisms of the decisions that can be switched off one at a time.

Operators leave all of them on; each exists so that its worth can be measured anew (docs/POLICY.md).
"""

from collections.abc import Iterable
from dataclasses import dataclass, fields


@dataclass(frozen=True, slots=True)
class Policy:
    """What is in use.

    Attributes:
        session_affinity: a session stays at the runner that holds its cache.
        step_aside: a session leaves a runner that is loaded far above the idlest one.
        avoidance: runners that were broken, unreachable or full a moment ago come last.
        preview: a turn goes to its runner while its reservation is still being committed.
        relays: requests for the turn log go through other fronts around a cut.
        refusal_when_isolated: a front that nobody answers refuses turns at once.
        shared_reading: many fronts rely on one replica machine's reading of the registry.
        replicas_follow: replica machines rely on one machine's reading too.
        kept_catalog: replica machines tell after a start what they knew before it.
        quick_election: a replica that has just started stands for election at once.
        shared_load: a turn runs where the leader of the turn log advises, which hears of all turns.
        programs_first: beyond a quota new programs are refused before turns of those under way.
        thing_affinity: plain requests that name the same thing go to the same runner.
        regional_groups: the turn log has a group at home in each region.
        kept_connections: a request goes to a runner with an idle connection unless that costs it.

    """

    session_affinity: bool = True
    step_aside: bool = True
    avoidance: bool = True
    preview: bool = True
    relays: bool = True
    refusal_when_isolated: bool = True
    shared_reading: bool = True
    replicas_follow: bool = True
    kept_catalog: bool = True
    quick_election: bool = True
    shared_load: bool = True
    kept_connections: bool = True
    programs_first: bool = True
    thing_affinity: bool = True
    regional_groups: bool = True


ALL_ENABLED = Policy()
"""What operators run."""

SWITCHES = frozenset(field.name for field in fields(Policy))
SWITCHES_HINT = f"use one of {', '.join(sorted(SWITCHES))}"


def unknown_switches(names: Iterable[str]) -> list[str]:
    """Names that are no switch, for a check of settings."""
    return [name for name in names if name not in SWITCHES]
