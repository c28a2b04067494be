"""Addresses that others write are checked without an exception for any text."""

import unittest

import hypothesis
from hypothesis import strategies as st

from cicadapier._internal.models import addresses
from cicadapier._internal.models import settings

ODD_ADDRESSES = [
    "",
    ":",
    ":80",
    "host",
    "host:",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:+1",
    "10.0.0.1: 1",
    "10.0.0.1:1 ",
    "10.0.0.1:1\n",
    "10.0.0.1:²",
    "10.0.0.1:٨٠",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1\r\n:80",
    "10.0.0.1\0:80",
    "a b:80",
    "a/b:80",
    "höst:80",
    "..:80",
    "-a:80",
    "a" * 64 + ":80",
    "a." * 127 + ":80",
    "[]:80",
    "[::g]:80",
    "[::1:80",
]


class AddressTest(unittest.TestCase):
    def test_addresses_and_names_with_a_port_are_accepted(self):
        for text in (
            "10.0.0.1:80",
            "[::1]:80",
            "::1:65535",
            "localhost:1",
            "a-b.c_d.example:80",
            "a.example.:80",
            "engine-1:08080",
        ):
            with self.subTest(text):
                self.assertTrue(addresses.is_address(text))
                settings.split_address(text)
        self.assertTrue(addresses.is_address("127.0.0.1:0", min_port=0))

    def test_odd_texts_are_no_addresses(self):
        for text in ODD_ADDRESSES:
            with self.subTest(text[:30]):
                self.assertFalse(addresses.is_address(text))

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(st.text(), st.text())
    def test_no_text_raises_an_exception(self, host, port):
        for text in (host, f"{host}:{port}", f"a:{port}", f"{host}:80"):
            if addresses.is_address(text):
                found_host, found_port = settings.split_address(text)
                self.assertTrue(found_host.encode("ascii"))
                self.assertTrue(0 < found_port < 65_536)


if __name__ == "__main__":
    unittest.main()
