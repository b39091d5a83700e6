"""Which stores of a simulated site count as lost, as the stated tolerance defines it."""

from dataclasses import dataclass, field

from bendshed.rehearsal.site.sim_world import CATCH_UP_S


@dataclass(slots=True)
class _Disruption:
    """A time in which the platform's store was not stable; ``None``: it still is not."""

    began_s: float
    ended_s: float | None = None


@dataclass(slots=True)
class Tolerance:
    """One machine with a disk may be lost at once.

    A machine counts as lost while it is in trouble and for ``CATCH_UP_S`` afterwards, or after its
    start if it is new. That time begins anew once the platform's store is stable after a
    disruption that began before it was over.
    """

    _troubled: set[str] = field(default_factory=set)
    _recovers_s: dict[str, float] = field(default_factory=dict)
    _disruptions: list[_Disruption] = field(default_factory=list)

    def begin_trouble(self, name: str) -> None:
        """A machine goes down, freezes, slows or is cut off."""
        self._troubled.add(name)

    def end_trouble(self, name: str, now_s: float) -> None:
        """It is back, or new."""
        self._troubled.discard(name)
        self._recovers_s[name] = now_s

    def forget(self, name: str) -> None:
        """It was removed: its successor counts in its place."""
        self._troubled.discard(name)
        self._recovers_s.pop(name, None)

    def begin_disruption(self, now_s: float) -> None:
        """The platform's store is not stable from now on."""
        if not self._disruptions or self._disruptions[-1].ended_s is not None:
            self._disruptions.append(_Disruption(now_s))

    def end_disruption(self, now_s: float) -> None:
        """The platform's store is stable from now on."""
        if self._disruptions and self._disruptions[-1].ended_s is None:
            self._disruptions[-1].ended_s = now_s

    def lost(self, now_s: float) -> set[str]:
        """Machines that count as lost."""
        recovering = {name for name in self._recovers_s if now_s < self._sound_at_s(name)}
        return self._troubled | recovering

    def _sound_at_s(self, name: str) -> float:
        """When a machine out of trouble counts again."""
        sound_s = self._recovers_s[name] + CATCH_UP_S
        for disruption in self._disruptions:
            if disruption.began_s >= sound_s:
                break
            if disruption.ended_s is None:
                return float("inf")
            sound_s = max(sound_s, disruption.ended_s + CATCH_UP_S)
        return sound_s
