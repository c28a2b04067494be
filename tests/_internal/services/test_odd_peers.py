"""Odd messages of other routers end no process and stop no request."""

import random
import unittest

from google.protobuf import descriptor
import trio

from cicadapier._internal.protocols import peer_codec
from cicadapier._internal.protocols import peers_pb2
from tests import forwarding_world

ROUTERS = 2
MESSAGES = 400
SETTLE_S = 12.0
TEXTS = ["", "²", "vm-0", "vm-1", "vm-9", "engine-1", "engine-0", "engines", "desk", "x" * 300]
NUMBERS = [0.0, -1.0, 1e-320, 0.5, 3.0, 1e38, -1e38, float("inf"), float("-inf"), float("nan")]
COUNTS = [0, 1, 7, 2**31, 2**32 - 1, 2**63 - 1, 2**64 - 1]
UINT32 = descriptor.FieldDescriptor.TYPE_UINT32


def draw_value(field, rng):
    """Returns a random value of a field that is no message."""
    if field.type == descriptor.FieldDescriptor.TYPE_STRING:
        return rng.choice(TEXTS)
    if field.type == descriptor.FieldDescriptor.TYPE_BYTES:
        return rng.randbytes(rng.choice([0, 3, peer_codec.PIECE_ID_BYTES]))
    if field.type == descriptor.FieldDescriptor.TYPE_BOOL:
        return rng.random() < 0.5
    if field.cpp_type in (field.CPPTYPE_DOUBLE, field.CPPTYPE_FLOAT):
        return rng.choice(NUMBERS)
    return rng.choice([count for count in COUNTS if field.type != UINT32 or count < 2**32])


def fill(message, rng):
    """Fills a message with random values; some fields stay empty."""
    for field in message.DESCRIPTOR.fields:
        if rng.random() < 0.2:
            continue
        if field.is_repeated:
            values = getattr(message, field.name)
            for _ in range(rng.choice([1, 3])):
                if field.message_type:
                    fill(values.add(), rng)
                else:
                    values.append(draw_value(field, rng))
        elif field.message_type:
            getattr(message, field.name).SetInParent()
            fill(getattr(message, field.name), rng)
        else:
            setattr(message, field.name, draw_value(field, rng))
    return message


def draw_datagram(rng):
    """Returns a random datagram as it is received."""
    kind = rng.choice([field.name for field in peers_pb2.Datagram.DESCRIPTOR.fields])
    datagram = peers_pb2.Datagram()
    getattr(datagram, kind).SetInParent()
    fill(getattr(datagram, kind), rng)
    received = peers_pb2.Datagram.FromString(datagram.SerializeToString())
    return peer_codec.decode_message(received)


class OddMessageTest(unittest.TestCase):
    def _check(self, seed):
        rng = random.Random(seed)

        async def check(world):
            world.upstreams["engine-0"].rate_limit = b"5"
            peers = [world.routers[i].kernel.find("peers") for i in range(ROUTERS)]
            for number in range(MESSAGES):
                peers[number % ROUTERS].handle_datagram(draw_datagram(rng))
                if number % 20 == 0:
                    await world.ask(router=number % ROUTERS)
                    await trio.sleep(0.2)
            world.set_target_weights(2)
            await trio.sleep(SETTLE_S)
            for router in range(ROUTERS):
                reply = await world.send("GET", "desk", "/look/1", router=router)
                self.assertEqual(reply.status, 200)
                reply = await world.ask(router=router)
                self.assertEqual((reply.status, len(reply.numbers)), (200, 6))
            await world.start_router(ROUTERS)
            await trio.sleep(SETTLE_S)
            self.assertEqual((await world.send("GET", "desk", "/look/1", router=2)).status, 200)

        forwarding_world.run_in_world(check, seed, routers=ROUTERS)

    def test_heartbeat_without_an_address_or_with_a_number_at_its_end_is_left_out(self):
        valid = {"vm": "vm-9", "address": "127.0.0.1:5", "generation": 2**62, "counter": 1}
        odd = [{"address": ""}, {"address": "127.0.0.1:²"}, {"generation": 2**64 - 1}]
        digest = peers_pb2.Digest(
            heartbeats=[peers_pb2.Heartbeat(**{**valid, **change}) for change in [*odd, {}]]
        )
        found = peer_codec.decode_digest(digest).heartbeats
        self.assertEqual([heartbeat.address for heartbeat in found], ["127.0.0.1:5"])

    def test_odd_messages_end_no_router(self):
        for seed in range(3):
            with self.subTest(seed):
                self._check(seed)


if __name__ == "__main__":
    unittest.main()
