"""Claims whose writes take effect late leave no key blocked."""

import types
import unittest

import trio
import trio.testing

from cicadapier._internal.kernel import random_tokens
from cicadapier._internal.models import store_versions
from cicadapier._internal.protocols import store_format
from cicadapier._internal.services import claims_service
from cicadapier._internal.services import exceptions

LATE_S = 4.0


class LateStore:
    """Store that answers no create and carries out the first one late."""

    def __init__(self, nursery):
        self.objects = {}
        self._nursery = nursery
        self._creates = 0
        self._revision = 10

    async def get(self, kind, name):
        return self.objects.get(name)

    async def create(self, kind, name, spec):
        self._creates += 1
        if self._creates == 1:
            self._nursery.start_soon(self._create_late, name, spec)
        raise exceptions.PlatformUnavailableError("no answer")

    async def _create_late(self, name, spec):
        await trio.sleep(LATE_S)
        self._create(name, spec)

    def _create(self, name, spec):
        if name not in self.objects:
            self._revision += 1
            self.objects[name] = store_format.StoredObject(
                name, store_versions.StoreVersion(None, str(self._revision)), spec
            )

    async def delete(self, kind, item):
        self.objects.pop(item.name, None)
        return True


class LateClaimTest(unittest.TestCase):
    def test_claim_that_is_created_after_its_release_does_not_block_the_key(self):
        async def main():
            service = claims_service.ClaimsService(random_tokens.TokenSource())
            async with trio.open_nursery() as nursery:
                store = LateStore(nursery)
                kernel = types.SimpleNamespace(find=lambda name: store)
                await nursery.start(service.run, kernel)
                with self.assertRaises(exceptions.RefusedError):
                    await service.acquire("claim-1", "fingerprint")
                await trio.sleep(3 * LATE_S)
                self.assertEqual(list(store.objects), [])
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
