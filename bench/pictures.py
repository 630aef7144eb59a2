"""Pictures of the scenario ``tail``: ``python -m bench.pictures`` draws them again."""

import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from bench.fault_runs import EVENT_AT_S
from bench.results import RESULTS_DIRECTORY
from bench.tail import DOMAIN_OUT_S
from celeryferry_standins.load.picture import draw_series
from celeryferry_standins.load.report import SeriesPoint

TAIL_RESULT = RESULTS_DIRECTORY / "tail.json"
PICTURES_DIRECTORY = Path(__file__).parent.parent / "docs" / "pictures"
BACK_AT_S = EVENT_AT_S + DOMAIN_OUT_S
# Times at which ``bench.tail`` injects and ends each drawn fault.
EVENTS = {
    "domain out": {"taken out": EVENT_AT_S, "put back": BACK_AT_S},
    "domain killed": {"killed": EVENT_AT_S, "starts again": BACK_AT_S},
}
SYSTEMS = ("baseline", "celeryferry")


@dataclass(frozen=True, slots=True)
class Picture:
    """One picture to draw.

    :param name: file name.
    :param title: title.
    :param systems: time series by system.
    :param events: times in seconds by label.
    """

    name: str
    title: str
    systems: dict[str, tuple[SeriesPoint, ...]]
    events: Mapping[str, float]


def list_pictures(content: Mapping[str, Any]) -> Iterator[Picture]:
    """List the pictures of a result.

    :param content: content of the JSON file of the scenario ``tail``.
    :returns: one picture for each deployment and event.
    :raises KeyError: a time series is missing.
    """
    for deployment, details in content["details"].items():
        for fault, events in EVENTS.items():
            yield Picture(
                f"{deployment}-{fault.replace(' ', '-')}.svg",
                f"{deployment}: {fault}",
                {
                    system: msgspec.convert(
                        details["series"][f"{fault}/{system}"], tuple[SeriesPoint, ...]
                    )
                    for system in SYSTEMS
                },
                events,
            )


def draw_pictures(result: Path, directory: Path = PICTURES_DIRECTORY) -> list[Path]:
    """Draw the pictures of a result; needs matplotlib.

    :param result: JSON file of the scenario ``tail``.
    :param directory: directory to write to.
    :returns: the files.
    """
    directory.mkdir(exist_ok=True)
    paths = []
    for picture in list_pictures(msgspec.json.decode(result.read_bytes())):
        path = directory / picture.name
        draw_series(picture.systems, path, picture.title, picture.events)
        paths.append(path)
    return paths


def main() -> int:
    """Draw the pictures of the recorded result.

    :returns: exit code, 1 without a result.
    """
    if not TAIL_RESULT.exists():
        print(f"{TAIL_RESULT} does not exist; run 'python -m bench tail' first")
        return 1
    for path in draw_pictures(TAIL_RESULT):
        print(f"{path} ({path.stat().st_size} bytes)")
    return 0


if __name__ == "__main__":
    sys.exit(main())
