"""Scheduling mechanisms that can be switched off individually.

Operators leave all of them on. The switches exist so that the benefit of each mechanism can be
measured again (docs/POLICY.md).
"""

from collections.abc import Iterable
from dataclasses import dataclass, fields


@dataclass(frozen=True, slots=True)
class Policy:
    """The mechanisms in use.

    Attributes:
        session_affinity: a session stays on the runner that holds its cache.
        step_aside: a session leaves a runner whose load is far above that of the least loaded one.
        avoidance: runners that were recently broken, unreachable or full are tried last.
        preview: a turn is sent to its runner while its reservation is still being committed.
        relays: requests to the turn log are relayed by other fronts around a network partition.
        refusal_when_isolated: a front that receives no answers refuses turns immediately.
        shared_reading: many fronts rely on one replica machine that reads the registry.
        replicas_follow: replica machines also rely on one machine that reads the registry.
        kept_catalog: after a start, replica machines serve the catalog that they had stored.
        quick_election: a replica that has just started becomes a candidate immediately.
        shared_load: a turn runs where the leader of the turn log advises, since it knows all turns.
        programs_first: over quota, new programs are refused before turns of running programs.
        thing_affinity: plain requests with the same affinity key go to the same runner.
        regional_groups: the turn log has a group with its home in each region.
        request_quarantine: a request under which several runners ended is not sent again.
        kept_connections: an idle connection lowers the cost of its runner when one is chosen.

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
    request_quarantine: bool = True


ALL_ENABLED = Policy()
"""The policy that operators use."""

SWITCHES = frozenset(field.name for field in fields(Policy))
SWITCHES_HINT = f"use one of {', '.join(sorted(SWITCHES))}"


def unknown_switches(names: Iterable[str]) -> list[str]:
    """Return the names that are not switches, for the validation of settings."""
    return [name for name in names if name not in SWITCHES]
