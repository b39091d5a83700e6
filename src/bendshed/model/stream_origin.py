"""Which runners may continue a stream."""

from dataclasses import dataclass

from bendshed.model.runner import RunnerProcess


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version that began a stream.

    Events of different versions do not fit together, so only runners of both may continue it.

    Attributes:
        software_version: empty: not known, so that no runner may continue the stream.
        process: the process that began the stream, where its version was not proven then; its entry
            may prove it later.

    """

    service: str
    software_version: str
    process: RunnerProcess | None = None
