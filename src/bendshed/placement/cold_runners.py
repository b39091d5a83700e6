"""Which runners are cold, and how many requests they get: a bound over all nodes. Pure.

A runner that has just started bears a bounded rate for a while (``Service.cold_per_s``); it is cold
again when its zone was closed or lost, and whenever its entry says so. What nodes know of that is a
word and the time at which they heard it, aged on their own steady clock. A doubtful word counts as
cold: cold runners that are thought warm get too much, warm ones that are thought cold cost a
question to the leader.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from bendshed.model.runner import ServiceRunner
from bendshed.model.service_document import Service

MAX_GONE = 1_000
"""Runners remembered that vanished from the list; an entry that comes back is doubtful."""


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """How exact the rate of cold runners must be.

    Within any second a cold runner may be sent its service's rate times ``over`` plus ``slack``
    requests, over all nodes.

    Attributes:
        over: factor on the rate that the configuration tells; at least 1 in practice.
        slack: requests on top.

    """

    over: float = 1.0
    slack: float = 0.0

    def most_per_s(self, cold_per_s: float) -> float:
        """Requests that a cold runner may get within any second."""
        return cold_per_s * self.over + self.slack


@dataclass(frozen=True, slots=True)
class _Word:
    """What was heard of a runner last, and when."""

    service: str
    zone: str
    heard_s: float


@dataclass(slots=True)
class ColdRunners:
    """Cold runners of one process; times are of its own steady clock.

    Invariant: a runner is cold for at least as long as the newest word tells from the moment at
    which that was heard.

    Attributes:
        services: bounds and times of cold starts, by service.
        cold: until when, by runner; those whose time is over stay until ``take_warm``.

    """

    services: Mapping[str, Service] = field(default_factory=dict)
    cold: dict[str, float] = field(default_factory=dict)
    _words: dict[str, _Word] = field(default_factory=dict)
    _gone: "OrderedDict[str, None]" = field(default_factory=OrderedDict)
    _kept: set[str] = field(default_factory=set)

    def note_listed(self, runner: ServiceRunner, now_s: float) -> float:
        """Take a runner's entry, as told now; return for how long it is cold, in seconds.

        One whose entry had vanished has very likely been gone itself, so it counts as just started.
        """
        left_s = runner.cold_left_ms / 1000
        if runner.runner_id in self._gone:
            del self._gone[runner.runner_id]
            left_s = max(left_s, self._start_s(runner.service))
        return self._note(runner, left_s, now_s)

    def note_confirmed(self, runner: ServiceRunner, now_s: float) -> float:
        """Somebody tells the entry that is known already: it replaces a word of a kept file."""
        if runner.runner_id not in self._kept:
            return self.left_ms(runner.runner_id, now_s) / 1000
        return self.note_listed(runner, now_s)

    def note_kept(self, runner: ServiceRunner, now_s: float) -> float:
        """Take a runner from a file that an earlier life kept.

        Nobody knows how old that is, so what was left then counts in full from now on, until the
        entry is told anew.
        """
        left_s = self._note(runner, runner.cold_left_ms / 1000, now_s)
        self._kept.add(runner.runner_id)
        return left_s

    def _note(self, runner: ServiceRunner, left_s: float, now_s: float) -> float:
        self._kept.discard(runner.runner_id)
        self._words[runner.runner_id] = _Word(runner.service, runner.zone, now_s)
        if left_s > 0:
            self.cold[runner.runner_id] = now_s + left_s
        elif runner.runner_id in self.cold:
            self.cold[runner.runner_id] = now_s
        return left_s

    def note_vanished(self, runner_id: str) -> None:
        """A runner's entry is not listed any more; until it comes back its last word counts."""
        if runner_id not in self._words:
            return
        self._gone[runner_id] = None
        if len(self._gone) > MAX_GONE:
            forgotten, _ = self._gone.popitem(last=False)
            self._words.pop(forgotten, None)
            self.cold.pop(forgotten, None)

    def reopen(self, zone: str, at_s: float) -> list[str]:
        """A zone was opened again: its runners count as started then, but for newer words.

        Returns:
            The runners that are cold by this.

        """
        turned = []
        for runner_id, word in self._words.items():
            until_s = at_s + self._start_s(word.service)
            is_newer = word.heard_s > at_s
            if word.zone == zone and not is_newer and until_s > self.cold.get(runner_id, at_s):
                self.cold[runner_id] = until_s
                turned.append(runner_id)
        return turned

    def is_cold(self, runner_id: str, now_s: float) -> bool:
        """Whether a runner gets a bounded rate; never where its service names none."""
        until_s = self.cold.get(runner_id)
        return until_s is not None and now_s < until_s and self.rate_of(runner_id) > 0

    def rate_of(self, runner_id: str) -> float:
        """Requests a second that a runner bears while it is cold; 0: no bound, or unknown."""
        word = self._words.get(runner_id)
        service = self.services.get(word.service) if word is not None else None
        return service.cold_per_s if service is not None else 0.0

    def left_ms(self, runner_id: str, now_s: float) -> int:
        """For how long a runner is still cold; 0: warm, as far as known."""
        return max(0, round(1000 * (self.cold.get(runner_id, now_s) - now_s)))

    def num_cold(self, now_s: float) -> int:
        """Cold runners that are listed, of services with a bound."""
        listed = [runner_id for runner_id in self.cold if runner_id not in self._gone]
        return sum(1 for runner_id in listed if self.is_cold(runner_id, now_s))

    def take_warm(self, now_s: float) -> list[str]:
        """Forget those whose time is over, and return them."""
        warm = [runner_id for runner_id, until_s in self.cold.items() if until_s <= now_s]
        for runner_id in warm:
            del self.cold[runner_id]
        return warm

    def _start_s(self, name: str) -> float:
        service = self.services.get(name)
        return service.cold_start_ms / 1000 if service is not None else 0.0
