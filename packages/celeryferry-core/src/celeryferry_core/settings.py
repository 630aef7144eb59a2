"""Parsing of the daemon settings; all errors are reported at once."""

from pathlib import Path

from result import Err, Ok, Result

from celeryferry_core.exceptions import FieldError, SettingsErrors
from celeryferry_core.findings import Findings, parse_toml
from celeryferry_core.models.settings import DaemonSettings, LimitSettings
from celeryferry_core.models.topology import Host
from celeryferry_core.table_reader import TableReader

MAX_SETTINGS_BYTES = 65_536
MIN_TOKEN_CHARACTERS = 16
MAX_TOKEN_CHARACTERS = 1_024
MAX_WAITING_REQUESTS = 100_000
MIN_BODY_BYTES = 1_024
MAX_BODY_BYTES = 1_048_576
MAX_TICKETS = 1_000_000
MIN_TICKET_VALID_MS = 100
MAX_TICKET_VALID_MS = 3_600_000
MIN_ENTRY_HOSTS_VALID_MS = 100
MAX_ENTRY_HOSTS_VALID_MS = 60_000
LOG_LEVELS = ("debug", "info", "notice", "warning", "error")

_TOKEN_RULE = (
    f"a file with a token of {MIN_TOKEN_CHARACTERS} to {MAX_TOKEN_CHARACTERS} "
    "printable ASCII characters without spaces"
)


def load_settings(path: Path) -> Result[DaemonSettings, SettingsErrors]:
    """Read and check the settings file and the fleet token file that it names.

    :returns: the settings, or all errors in them.
    """
    source = read_text_file(path, MAX_SETTINGS_BYTES)
    if isinstance(source, Err):
        rule = f"a UTF-8 text file of at most {MAX_SETTINGS_BYTES} bytes"
        return _fail(FieldError("", f"{path}: {source.err_value}", rule))
    parsed = parse_toml(source.ok_value)
    if isinstance(parsed, Err):
        return _fail(parsed.err_value)
    findings = Findings(source.ok_value)
    settings = _read_settings(TableReader(findings, parsed.ok_value), path.parent)
    if findings.errors:
        return _fail(*findings.sort_errors())
    return Ok(settings)


def read_token(path: Path) -> Result[str, FieldError]:
    """Read a fleet token from a file that contains nothing else.

    The file may be up to twice as large as the longest token; surrounding white space
    is removed. Error messages never contain the token itself.

    :returns: the token without surrounding white space, or the error.
    """
    source = read_text_file(path, 2 * MAX_TOKEN_CHARACTERS)
    if isinstance(source, Err):
        return Err(FieldError("", f"{path.name}: {source.err_value}", _TOKEN_RULE))
    token = source.ok_value.strip()
    if not MIN_TOKEN_CHARACTERS <= len(token) <= MAX_TOKEN_CHARACTERS:
        found = f"{path.name}: a token of {len(token)} characters"
        return Err(FieldError("", found, _TOKEN_RULE))
    if not all("!" <= character <= "~" for character in token):
        found = (
            f"{path.name}: a token with a space or a character outside printable ASCII"
        )
        return Err(FieldError("", found, _TOKEN_RULE))
    return Ok(token)


def read_text_file(path: Path, max_bytes: int) -> Result[str, str]:
    """Read a UTF-8 text file of at most ``max_bytes``.

    :returns: the text, or a short error message.
    """
    try:
        with path.open("rb") as file:
            content = file.read(max_bytes + 1)
        if len(content) > max_bytes:
            return Err(f"more than {max_bytes} bytes")
        return Ok(content.decode())
    except OSError as error:
        return Err((error.strerror or "cannot be read").lower())
    except ValueError:
        return Err("not a UTF-8 text file, or not a valid file name")


def _fail(*errors: FieldError) -> Err[SettingsErrors]:
    return Err(SettingsErrors(errors))


def _read_settings(top: TableReader, folder: Path) -> DaemonSettings:
    settings = DaemonSettings(
        host=Host(
            host_id=top.read_name("host_id"),
            failure_domain=top.read_name("failure_domain"),
            callers_address=top.read_address("callers_address"),
            peers_address=top.read_address("peers_address"),
        ),
        fleet_token=_read_token_field(top, folder),
        configuration_service=top.read_address("configuration_service"),
        host_list=top.read_address("host_list"),
        limits=_read_limits(top.open_table("limits")),
        log_level=_read_log(top.open_table("log")),
    )
    callers_address = settings.host.callers_address
    if callers_address and callers_address == settings.host.peers_address:
        top.reject(
            "peers_address",
            callers_address,
            "an address that differs from callers_address",
        )
    top.reject_unknown_fields()
    return settings


def _read_token_field(top: TableReader, folder: Path) -> str | None:
    name = top.read_string("fleet_token_file", _TOKEN_RULE)
    if name is None:
        return None
    match read_token(folder / name):
        case Ok(token):
            return token
        case Err(error):
            top.reject("fleet_token_file", error.found, error.allowed)
            return None


def _read_limits(table: TableReader) -> LimitSettings:
    default = LimitSettings()
    limits = LimitSettings(
        waiting_requests=table.read_integer(
            "waiting_requests", 1, MAX_WAITING_REQUESTS, default.waiting_requests
        ),
        body_bytes=table.read_integer(
            "body_bytes", MIN_BODY_BYTES, MAX_BODY_BYTES, default.body_bytes
        ),
        tickets=table.read_integer("tickets", 1, MAX_TICKETS, default.tickets),
        ticket_valid_ms=table.read_integer(
            "ticket_valid_ms",
            MIN_TICKET_VALID_MS,
            MAX_TICKET_VALID_MS,
            default.ticket_valid_ms,
        ),
        entry_hosts_valid_ms=table.read_integer(
            "entry_hosts_valid_ms",
            MIN_ENTRY_HOSTS_VALID_MS,
            MAX_ENTRY_HOSTS_VALID_MS,
            default.entry_hosts_valid_ms,
        ),
    )
    table.reject_unknown_fields()
    return limits


def _read_log(table: TableReader) -> str | None:
    level = table.read_choice("level", LOG_LEVELS, default="info")
    table.reject_unknown_fields()
    return level
