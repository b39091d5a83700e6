"""Asks the process behind each connection to a runner, once, when it started.

Needed where the software version of that process decides: for streams that may be resumed. What the
answer proves is decided in ``placement/proven_version.py``.
"""

import asyncio

from bendshed.logs import PartLog
from bendshed.model.runner import ReportedBirth
from bendshed.placement.proven_version import needs_report
from bendshed.placement.runner_record import RunnerRecord
from bendshed.ports.http_messages import ClientRequest, ResponseBroken
from bendshed.ports.runner_connections import RunnerConnection, read_body
from bendshed.services.metrics import ReportResult
from bendshed.services.runner_ports import RunnerPorts

HTTP_OK = 200
REPORT_TIMEOUT_S = 0.15
"""Bounds the delay of a first event; reports take no slot, so that a runner answers them within a
round trip."""
REPORT_RETRY_S = 5.0
"""Time for which a runner that did not answer is not asked again: each try may cost a connection
and the timeout."""
MAX_REPORTS = 2
"""Connections that one dispatch may lose to reports: a runner may close one after any answer."""
MAX_REPORT_BYTES = 1024 * 1024

log = PartLog("runners")


async def request_report(
    connection: RunnerConnection, record: RunnerRecord, ports: RunnerPorts, left_s: float
) -> bool:
    """Ask the process behind a connection when it started, unless it has told or need not.

    The answer is kept with the connection. Return whether the connection can carry a request.
    """
    loop = asyncio.get_running_loop()
    may_ask = needs_report(record.listed) and loop.time() >= record.no_report_until_s
    if connection.reported.is_given or not may_ask:
        return True
    request = ports.protocol.build_report_request(record.listed)
    if request is None:
        return True
    try:
        async with asyncio.timeout(max(0.0, min(REPORT_TIMEOUT_S, left_s))):
            report = await _read(connection, request)
    except (TimeoutError, ResponseBroken) as error:
        connection.abort()
        if left_s >= REPORT_TIMEOUT_S:
            record.no_report_until_s = loop.time() + REPORT_RETRY_S
        _note(record, ports, ReportResult.UNANSWERED, reason=repr(error))
        return False
    except BaseException:
        connection.abort()  # the answer may still arrive, in the place of the next one
        ports.pool.release(record.listed.address, connection)
        raise
    connection.finish()
    connection.reported = ReportedBirth(ports.protocol.read_birth_ms(report))
    result = _result_of(connection.reported, record)
    if result is not ReportResult.LISTED and record.listed.born_ms:
        record.doubt_entry(loop.time())
    _note(record, ports, result)
    return connection.is_reusable


async def _read(connection: RunnerConnection, request: ClientRequest) -> bytes:
    head = await connection.send(request)
    report = await read_body(connection, MAX_REPORT_BYTES)
    return report if head.status == HTTP_OK else b""


def _result_of(reported: ReportedBirth, record: RunnerRecord) -> ReportResult:
    if not reported.born_ms:
        return ReportResult.WITHOUT_BIRTH
    is_listed = reported.born_ms == record.listed.born_ms
    return ReportResult.LISTED if is_listed else ReportResult.OTHER_PROCESS


def _note(record: RunnerRecord, ports: RunnerPorts, result: ReportResult, reason: str = "") -> None:
    """Count a report; log one that does not prove what the entry says."""
    ports.metrics.reports.labels(result.value).inc()
    if result is ReportResult.LISTED:
        return
    log.say(
        "report does not confirm the entry",
        runner=record.listed.runner_id,
        result=result.value,
        listed_born_ms=record.listed.born_ms,
        software_version=record.listed.software_version,
        reason=reason,
    )
