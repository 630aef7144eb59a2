"""Writes the sample documents of two deployments and the sample daemon settings."""

import sys
from dataclasses import dataclass
from pathlib import Path

from celeryferry_core.documents import render_document
from celeryferry_core.models.topology import (
    Preference,
    Replica,
    ServiceDocument,
    Shard,
    UpstreamLimits,
)

SAMPLES_FOLDER = Path(__file__).parent
DEADLINE_MS = 1_000
ANSWER_WITHIN_MS = 250
# Number of concurrent requests that an upstream can process in cold start.
COLD_LIMIT = 1
HEADER = "# Written by samples/generate.py.\n"

SETTINGS = (
    HEADER
    + """\
host_id = "agadir-a-1"
failure_domain = "agadir-a"
callers_address = "127.0.0.1:7001"
peers_address = "127.0.0.1:7101"
fleet_token_file = "token"        # relative to this file; at least 16 characters
configuration_service = "127.0.0.1:6001"
host_list = "127.0.0.1:6002"

[limits]
waiting_requests = 512
body_bytes = 65536
tickets = 10000
ticket_valid_ms = 60000
entry_hosts_valid_ms = 5000

[log]
level = "info"
"""
)


@dataclass(frozen=True, slots=True)
class Application:
    """An application of a sample deployment.

    :param team: team that owns its documents.
    :param services: number of services, with one shard each.
    :param replicas: number of replicas of each shard.
    :param slots: number of requests that an upstream handles at once.
    :param connections: number of connections that an upstream accepts.
    :param connect_cost_ms: cost of a new connection in milliseconds.
    :param repeatable: False if its requests may run at most once.
    """

    name: str
    team: str
    services: int
    replicas: int
    slots: int
    connections: int
    connect_cost_ms: float
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Deployment:
    """A sample deployment.

    :param folder: name of the folder of its documents.
    :param preference: whether its services prefer full coverage or a timely answer.
    :param failure_domains: failure domains that the replicas of a shard are assigned
        to in turn.
    :param first_port: port of the first upstream; the others follow it.
    """

    folder: str
    preference: Preference
    failure_domains: tuple[str, ...]
    first_port: int
    applications: tuple[Application, ...]


DEPLOYMENTS = (
    Deployment(
        "alami",
        Preference.COVERAGE,
        ("agadir-a", "taroudant-b", "tiznit-c"),
        9_001,
        (
            Application("survey-desk", "survey", 10, 3, 4, 80, 6.0),
            Application("insurer-portal", "insurers", 15, 3, 4, 80, 6.0),
            Application("foundry-orders", "foundry", 1, 7, 6, 200, 1.0, False),
            Application("commune-registry", "communes", 1, 3, 6, 200, 1.0),
        ),
    ),
    Deployment(
        "bluemahoe",
        Preference.TIME,
        ("jm-south-a", "jm-south-b", "jm-south-c"),
        9_201,
        (
            Application("enrol-desk", "enrolment", 10, 3, 3, 70, 6.0),
            Application("tutor-roster", "tutors", 15, 3, 3, 70, 6.0),
            Application("billing-ledger", "billing", 1, 10, 3, 90, 1.0, False),
            Application("recipe-library", "recipes", 1, 5, 3, 90, 1.0),
        ),
    ),
)


def build_documents(deployment: Deployment) -> tuple[ServiceDocument, ...]:
    """Build the documents of a deployment.

    :returns: one document for each service.
    """
    documents = []
    port = deployment.first_port
    for application in deployment.applications:
        for number in range(1, application.services + 1):
            is_only_service = application.services == 1
            service = (
                application.name
                if is_only_service
                else f"{application.name}-{number:02}"
            )
            replicas = tuple(
                Replica(
                    f"127.0.0.1:{port + index}",
                    deployment.failure_domains[index % len(deployment.failure_domains)],
                )
                for index in range(application.replicas)
            )
            port += application.replicas
            documents.append(
                _build_document(deployment, application, service, replicas)
            )
    return tuple(documents)


def _build_document(
    deployment: Deployment,
    application: Application,
    service: str,
    replicas: tuple[Replica, ...],
) -> ServiceDocument:
    return ServiceDocument(
        version=1,
        application=application.name,
        service=service,
        team=application.team,
        preference=deployment.preference,
        repeatable=application.repeatable,
        deadline_ms=DEADLINE_MS,
        answer_within_ms=ANSWER_WITHIN_MS,
        failure_domains_out=(),
        upstreams=UpstreamLimits(
            slots=application.slots,
            connections=application.connections,
            cold_limit=COLD_LIMIT,
            connect_cost_ms=application.connect_cost_ms,
        ),
        shards=(Shard(service, replicas),),
    )


def generate_files() -> dict[str, str]:
    """Generate the content of all sample files.

    :returns: content by path relative to the samples folder.
    """
    files = {"celeryferryd.toml": SETTINGS}
    for deployment in DEPLOYMENTS:
        for document in build_documents(deployment):
            path = f"{deployment.folder}/{document.service}.toml"
            files[path] = HEADER + render_document(document)
    return files


def main() -> int:
    """Write all sample files next to this script.

    :returns: exit code of the process.
    """
    for name, text in generate_files().items():
        path = SAMPLES_FOLDER / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
