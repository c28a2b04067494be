"""Deeply nested bodies from upstreams and peers of the own interface are unreadable, not fatal."""

import random
import types
import unittest
import unittest.mock
import zlib

import trio

from cicadapier._internal.models import ids
from cicadapier._internal.protocols import completions
from cicadapier._internal.protocols import exceptions
from cicadapier._internal.protocols import upstream_bodies
from cicadapier._internal.services import configuration_service
from cicadapier._internal.services import connections_service
from cicadapier._internal.services import upstream_condition
from cicadapier._internal.services import upstreams_service

DEEP = b"[" * 10_000 + b"]" * 10_000
BODY = b'{"choices":[],"x":' + DEEP + b"}"


class DeepBodyTest(unittest.TestCase):
    def test_deep_chunk_of_an_answer_is_invalid(self):
        with self.assertRaises(completions.InvalidBodyError):
            completions.read_chunk(BODY)

    def test_deep_configuration_of_a_peer_changes_nothing(self):
        service = configuration_service.ConfigurationService(ids.VmId("vm-0"), random.Random(0))
        service.apply_packed_update(ids.ConfigNumber(5), zlib.compress(DEEP))
        self.assertEqual(service.current.number, 0)

    def test_deep_answer_to_a_check_shows_no_restart(self):
        connection = unittest.mock.AsyncMock()
        connections = types.SimpleNamespace(open=unittest.mock.AsyncMock(return_value=connection))
        checker = upstream_condition.UpstreamChecker(
            connections, ids.Address("a:1"), ids.Incarnation("i"), unittest.mock.Mock()
        )
        exchange = unittest.mock.AsyncMock(return_value=(None, BODY))
        with unittest.mock.patch.object(connections_service, "exchange", exchange):
            found = trio.run(checker.check_after_loss)
        self.assertEqual(found, upstream_condition.Condition())

    def test_deep_report_is_malformed(self):
        service = upstreams_service.UpstreamsService.__new__(upstreams_service.UpstreamsService)
        service._connections = unittest.mock.AsyncMock()
        answer = types.SimpleNamespace(status=200)
        exchange = unittest.mock.AsyncMock(return_value=(answer, BODY))
        target = unittest.mock.Mock()

        async def main():
            await service._query(target, None, "/load", upstream_bodies.LoadReport)

        with (
            unittest.mock.patch.object(connections_service, "exchange", exchange),
            self.assertRaises(exceptions.MalformedMessageError),
        ):
            trio.run(main)


if __name__ == "__main__":
    unittest.main()
