"""Explains what happened to one request, from the logs of the hosts."""

from pathlib import Path
from typing import Any

import msgspec

from celeryferry_cli._internal.failures import report_usage_error
from celeryferry_cli._internal.reports import ExitCode, Report

REQUEST_EVENTS = frozenset({"request_answered", "request_rejected", "caller_gone"})
# Number of earlier changes of the host's state that are shown with a request.
MAX_SHOWN_CHANGES = 5
OUTCOME_EXPLANATIONS = {
    "complete": "answered in full",
    "partly_covered": "answered without the shards whose attempts are not ok below",
    "not_run_no_upstream": "not run: too few shards had an available upstream",
    "not_run_upstream_refused": "not run: every upstream that was asked refused it",
    "not_run_other_instance": "not run: the addresses belong to other instances now",
    "not_run_connect_failed": "not run: no connection to an upstream was accepted",
    "not_run_not_sent": "not run: the caller's time was up before it could be sent",
    "not_run_no_configuration": "not run: this host had no configuration yet",
    "not_run_caller_gone": "not run any further: the caller closed its connection",
    "not_run_overloaded": "not run: this host had too many requests of that rule",
    "not_run_stopping": "not run: this host stops before it could have answered",
    "not_run_deadline": "not run: the caller's time was up when it arrived",
    "rejected_no_rule": "404: no rule of that version matches the host name and path",
    "rejected_head_too_large": "431: the head exceeds the configured limit",
    "rejected_body_too_large": "413: the body exceeds the configured limit",
    "rejected_body_late": "408: the body did not arrive within the caller's time",
    "rejected_malformed": "400: the head or the body is not HTTP",
    "unknown_timeout": "no answer within the time of the caller or the rule",
    "unknown_connection_lost": "the connection was lost after the request was sent",
    "unknown_bad_response": "the upstream sent an invalid answer",
    "unknown_cancelled": "this host cancelled the attempt",
    "unknown_not_covered": "too few shards could be answered",
}


def explain_request(request_id: str, files: tuple[str, ...]) -> Report:
    """Describe what happened to a request.

    :param files: log files of hosts; text that is not structured is ignored.
    :returns: report with exit code 1 if no line names the request, 2 if a file can't
        be read.
    """
    lines: list[str] = []
    records: list[dict[str, Any]] = []
    for file in files:
        try:
            entries = read_log_entries(Path(file))
        except OSError as error:
            return report_usage_error(f"cannot read {file}: {error}")
        for number, entry in enumerate(entries):
            is_request = entry.get("event") in REQUEST_EVENTS
            if is_request and entry.get("request_id") == request_id:
                changes = find_changes(entries[:number], entry)
                lines += [f"{file}:", *describe_request(entry, changes)]
                records.append({"file": file, "request": entry, "before": changes})
    if not records:
        text = (
            f"no log line names request {request_id}; pass the logs of all hosts. "
            "Under load, hosts omit lines about single requests and count them in "
            "lines_left_out."
        )
        return Report(ExitCode.FAILED, (text,), {"error": {"message": text}})
    return Report(ExitCode.OK, tuple(lines), records)


def read_log_entries(file: Path) -> list[dict[str, Any]]:
    """Read the structured entries of a log.

    :param file: log file; text before the JSON object of a line is ignored, and so are
        lines without a JSON object that has an ``event``.
    :returns: entries in the order of the file.
    :raises OSError: if the file can't be read.
    """
    entries = []
    for line in file.read_text(errors="replace").splitlines():
        start = line.find("{")
        if start < 0:
            continue
        try:
            entry = msgspec.json.decode(line[start:])
        except (msgspec.DecodeError, RecursionError):
            continue
        if isinstance(entry, dict) and "event" in entry:
            entries.append(entry)
    return entries


def find_changes(
    earlier: list[dict[str, Any]], request: dict[str, Any]
) -> list[dict[str, Any]]:
    """Find the latest changes that may explain the outcome of a request.

    :param earlier: entries before the entry of the request.
    :param request: entry of the request.
    :returns: up to ``MAX_SHOWN_CHANGES`` changes of the upstreams that the request was
        sent to, and of the sources of configuration, the failure domains and the
        other hosts; latest last.
    """
    instance_ids = [
        attempt.split("/")[1].partition("@")[0] for attempt in _list_attempts(request)
    ]
    changes = [
        entry
        for entry in earlier
        if entry["event"] not in REQUEST_EVENTS
        and (_names_instance(entry, instance_ids) or not _is_about_upstream(entry))
    ]
    return changes[-MAX_SHOWN_CHANGES:]


def describe_request(entry: dict[str, Any], changes: list[dict[str, Any]]) -> list[str]:
    """Return the lines of text that explain one request.

    :param entry: entry of the request.
    :param changes: changes before the request, oldest first.
    """
    outcome = entry.get("outcome", entry["event"])
    lines = [
        f"{entry.get('time')}  {_describe_target(entry)}",
        f"outcome {outcome}: {OUTCOME_EXPLANATIONS.get(outcome, 'see the attempts')}",
    ]
    for attempt in _list_attempts(entry):
        service, upstream, reason, result, elapsed = attempt.split("/")
        lines.append(f"  {service}  {upstream}  {reason}  {result}  {elapsed}")
    lines += [f"  before: {msgspec.json.encode(change).decode()}" for change in changes]
    return lines


def _describe_target(entry: dict[str, Any]) -> str:
    parts = []
    if "rule" in entry:
        parts.append(f"rule {entry['rule']}")
    if "target" in entry:
        parts.append(f"{entry.get('host')}{entry['target']}")
    if "configuration_version" in entry:
        parts.append(f"configuration version {entry['configuration_version']}")
    if "elapsed_ms" in entry:
        parts.append(f"{entry['elapsed_ms']} ms")
    return ", ".join(parts)


def _list_attempts(entry: dict[str, Any]) -> list[str]:
    # An attempt is logged as "service/instance_id@address/reason/result/elapsed".
    return [attempt for attempt in entry.get("attempts", ()) if attempt.count("/") == 4]


def _is_about_upstream(entry: dict[str, Any]) -> bool:
    return entry["event"].startswith("upstream_")


def _names_instance(entry: dict[str, Any], instance_ids: list[str]) -> bool:
    upstream = entry.get("upstream", {})
    return entry.get("instance_id", upstream.get("instance_id")) in instance_ids
