"""Tests of the commands for operators against fake daemons."""

import json

from aiohttp import web

from tests.cli.command_case import CLOSED_ADDRESS, TOKEN, CommandTestCase
from tests.cli.fake_daemon import make_status


class TestOperatorCommands(CommandTestCase):
    """Guards against wrong or missing facts in the output of operator commands.

    A status that hides unreachable hosts or outdated documents looks healthy, and a
    call to the wrong listener or with a wrong token fails without a usable hint.
    """

    def test_status_finds_outdated_documents_and_unreachable_hosts(self):
        new = {"name": "s1", "application": "a", "version": 3, "revision": 9}
        newer = new | {"revision": 10}
        second = self.start_fake_daemon(
            operator_v1_status=(200, make_status("h2", documents=[new]))
        )
        third = self.start_fake_daemon(
            operator_v1_status=(200, make_status("h3", documents=[newer]))
        )
        listed = (("h2", second.address), ("h3", third.address), ("h4", CLOSED_ADDRESS))
        hosts = [
            {"host_id": host_id, "peers_address": address}
            | {"failure_domain": "b", "state": "live"}
            for host_id, address in listed
        ]
        rejected = {"name": "s9", "revision": 4, "source": "h2", "reason": "slots"}
        first = self.start_fake_daemon(
            operator_v1_status=(
                200,
                make_status(
                    "h1",
                    service_age_ms=12_300,
                    hosts=hosts,
                    documents=[new | {"version": 2}],
                    keys=[{"key": "a/0/b", "remaining_ms": 900}],
                    rejected=[rejected],
                ),
            )
        )
        code, output = self.run_operator_command("status", "--host", first.address)
        self.assertEqual(code, 3, output)
        self.assertIn("hosts: 3 of 4 answered", output)
        self.assertIn("h4: no answer", output)
        self.assertIn(f"h2  b  {second.address}  serving", output)
        self.assertIn("last confirmed by the configuration service 12 s ago", output)
        self.assertIn("behind: 2", output)
        self.assertIn("h1: s1: has version 2, revision 9; newest is version 3", output)
        self.assertIn("h3: s1: has version 3, revision 10; newest is", output)
        self.assertIn("held keys: a/0/b", output)
        self.assertIn("h1: s9 revision 4 from h2: slots", output)
        header = first.requests[0][1]["Authorization"]
        self.assertEqual(header, f"Bearer {TOKEN}")
        code, output = self.run_operator_command(
            "status", "--host", first.address, "--json"
        )
        self.assertEqual(json.loads(output)["behind"][0]["host_id"], "h1")
        code, output = self.run_operator_command("status", "--host", CLOSED_ADDRESS)
        self.assertEqual(code, 1)
        self.assertEqual(output.count(CLOSED_ADDRESS), 1)
        self.assertNotIn("behind", output)

    def test_address_of_the_other_listener_is_explained(self):
        daemon = self.start_fake_daemon(v1_search=(401, ""))
        path = "/operator/v1/status"
        daemon.answers[path] = lambda _: web.Response(status=404, text="404: Not Found")
        code, output = self.run_operator_command("status", "--host", daemon.address)
        self.assertEqual(code, 1)
        self.assertIn("give the address of a peer listener", output)
        code, output = self.run_command("search", "a", "q", "--host", daemon.address)
        self.assertEqual(code, 1)
        self.assertIn("give the address of a listener for callers", output)

    def test_explain_and_drain(self):
        candidate = {"upstream": "127.0.0.1:9", "failure_domain": "b", "owner": "h1"}
        shard = {"service": "s1", "shard": "x", "candidates": [candidate]}
        explanation = {"application": "a", "snapshot": 41, "shards": [shard]}
        daemon = self.start_fake_daemon(
            operator_v1_explain=(200, explanation),
            operator_v1_drain=(202, {"host_id": "h1", "state": "leaving"}),
        )
        code, output = self.run_operator_command(
            "explain", "a", "--host", daemon.address
        )
        self.assertEqual(code, 0, output)
        self.assertIn("s1/x: chosen none", output)
        self.assertIn("127.0.0.1:9  b  owner h1  not observed", output)
        self.assertEqual(daemon.requests[0][2], {"application": "a"})
        code, output = self.run_operator_command("drain", "--host", daemon.address)
        self.assertEqual(code, 0, output)
        self.assertIn("planned stop begun", output)
        daemon.answers["/operator/v1/explain"] = (200, {"snapshot": None})
        output = self.run_operator_command("explain", "a", "--host", daemon.address)[1]
        self.assertIn("snapshot none known, 0 shards", output)
        daemon.answers["/operator/v1/drain"] = (401, "")
        code, output = self.run_operator_command("drain", "--host", daemon.address)
        self.assertEqual(code, 1)
        self.assertIn("check --token-file", output)

    def test_entry_hosts(self):
        daemon = self.start_fake_daemon()
        hosts = [{"address": "127.0.0.1:7001", "failure_domain": "agadir-a"}]
        answer = {"hosts": hosts, "valid_for_ms": 5000}
        daemon.answers["/v1/entry-hosts"] = (200, answer)
        words = ("entry-hosts", "a", "--host", daemon.address)
        code, output = self.run_command(*words, "--failure-domain", "agadir-a")
        self.assertEqual(code, 0, output)
        self.assertIn("127.0.0.1:7001  agadir-a", output)
        self.assertEqual(json.loads(self.run_command(*words, "--json")[1]), answer)
