"""``celeryferry check``."""

from pathlib import Path
from typing import Any

import msgspec
from result import Err, Result

from celeryferry_cli._internal.failures import report_usage_error
from celeryferry_cli._internal.options import parse_with
from celeryferry_cli._internal.reports import ExitCode, Invocation, Report
from celeryferry_core.documents import MAX_DOCUMENT_BYTES, parse_document
from celeryferry_core.exceptions import DocumentErrors, FieldError
from celeryferry_core.models.topology import ServiceDocument
from celeryferry_core.settings import read_text_file


@parse_with()
def check(*files: str, json: bool = False) -> Invocation:
    """Check service documents and report every mistake with its line.

    Exit code 0: all files are valid; 2: at least one is not.

    :param files: TOML files, one service document each.
    :param json: print JSON instead of text.
    """

    async def start() -> Report:
        return check_files(files)

    return Invocation(start, json)


def check_files(files: tuple[str, ...]) -> Report:
    """Check service documents, and report two files for the same service.

    :param files: paths of the files.
    :returns: report with exit code 0 if all files are valid, else 2.
    """
    if not files:
        return report_usage_error("give at least one file: celeryferry check FILE...")
    services: dict[str, str] = {}
    lines: list[str] = []
    records: list[dict[str, Any]] = []
    for file in files:
        result = _check_file(file, services)
        errors = result.err_value.errors if isinstance(result, Err) else ()
        lines += [f"{file}: {error}" for error in errors]
        records.append(
            {
                "file": file,
                "valid": not errors,
                "errors": [msgspec.to_builtins(error) for error in errors],
            }
        )
    invalid_count = sum(1 for record in records if not record["valid"])
    lines.append(f"{len(files) - invalid_count} valid, {invalid_count} invalid")
    code = ExitCode.INVALID if invalid_count else ExitCode.OK
    return Report(code, tuple(lines), {"files": records})


def _check_file(
    file: str, services: dict[str, str]
) -> Result[ServiceDocument, DocumentErrors]:
    text = read_text_file(Path(file), MAX_DOCUMENT_BYTES)
    if isinstance(text, Err):
        rule = f"a UTF-8 text file of at most {MAX_DOCUMENT_BYTES} bytes"
        return Err(DocumentErrors((FieldError("", text.err_value, rule),)))
    result = parse_document(text.ok_value)
    if isinstance(result, Err):
        return result
    service = result.ok_value.service
    first_file = services.setdefault(service, file)
    if first_file != file:
        rule = f"one document for each service; {first_file} has the same service"
        return Err(DocumentErrors((FieldError("service", repr(service), rule),)))
    return result
