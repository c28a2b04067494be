"""Objects of the own interface that others have written oddly end no router."""

import types
import unittest

import trio
import trio.testing

from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import partial_json
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import claims_service
from cicadapier._internal.services import configuration_store
from cicadapier._internal.services import exceptions
from cicadapier._internal.services import platform_service
from tests import support

ODD_CONTENTS = [
    partial_json.Unreadable("too deep"),
    None,
    7,
    "text",
    [],
    {},
    {"number": "7", "chunks": {}, "history": []},
    {"number": 7, "chunks": 5, "history": []},
    {"number": 7, "chunks": {"a": "chunk"}, "history": []},
    {"number": 7, "chunks": {}, "history": [{"at": "soon"}]},
    {"nonce": 1, "state": "odd", "fingerprint": "f"},
    {"nonce": 1, "state": "done", "fingerprint": "f", "answer": {"status": "²", "contentType": 1}},
    {"nonce": 1, "state": "done", "fingerprint": "f", "answer": 3},
    {"nonce": 1, "state": "done", "fingerprint": "f", "createdAt": 10**400},
]


class OddPlatform:
    """Client of a store in which each object exists and has the same content."""

    def __init__(self, content):
        self._content = content

    async def create(self, kind, name, spec):
        return platform_service.NotWritten()

    async def get(self, kind, name):
        return store_format.StoredObject(
            name, store_versions.StoreVersion(None, "1"), self._content
        )


class OddOwnObjectTest(unittest.TestCase):
    def test_odd_configuration_cannot_be_read(self):
        async def main():
            for content in ODD_CONTENTS:
                store = configuration_store.ConfigurationStore(OddPlatform(content))
                with self.subTest(content), self.assertRaises(exceptions.UnreadableAnswerError):
                    await store.read_number()
                    await store.read()

        trio.run(main)

    def test_call_with_an_odd_claim_is_refused(self):
        async def acquire(content):
            service = claims_service.ClaimsService(random_tokens.TokenSource())
            kernel = types.SimpleNamespace(find=lambda name: OddPlatform(content))
            async with trio.open_nursery() as nursery:
                await nursery.start(service.run, kernel)
                try:
                    await service.acquire("claim-1", "fingerprint")
                except exceptions.RefusedError as exc:
                    refusals.append(exc)
                await trio.sleep(5.0)
                nursery.cancel_scope.cancel()

        refusals = []
        for number, content in enumerate(ODD_CONTENTS):
            with self.subTest(content):
                trio.run(acquire, content, clock=trio.testing.MockClock(autojump_threshold=0))
                self.assertEqual(len(refusals), number + 1)

    def test_odd_vm_in_the_list_ends_no_router(self):
        async def check(world):
            for number, content in enumerate([7, None, "text", []]):
                vm = {"metadata": {"name": f"odd-{number}"}, "spec": content}
                world.platform.store.create("vms", vm, trio.current_time())
            await trio.sleep(30.0)
            self.assertEqual((await support.Caller(world).complete("plain lines")).status, 200)

        support.run_in_world(check, deployment=support.SMALL_DEPLOYMENT)


if __name__ == "__main__":
    unittest.main()
