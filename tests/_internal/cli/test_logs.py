"""Tests that log lines are limited in rate and written without blocking."""

import json
import os
import unittest

from cicadapier._internal.cli import logs


class LineWriterTest(unittest.TestCase):
    def setUp(self):
        self.read_fd, self.write_fd = os.pipe()
        os.set_blocking(self.write_fd, False)
        os.set_blocking(self.read_fd, False)
        self.now = 100.0
        self.writer = logs.LineWriter(self.write_fd, lambda: self.now)

    def tearDown(self):
        os.close(self.read_fd)
        os.close(self.write_fd)

    def _read(self):
        parts = []
        try:
            while part := os.read(self.read_fd, 1 << 20):
                parts.append(part)
        except BlockingIOError:
            pass
        return b"".join(parts).decode().splitlines()

    def test_lines_over_the_limit_per_second_are_dropped_and_counted(self):
        for number in range(1000):
            self.writer.add(f'{{"n":{number}}}', urgent=False)
        self.writer.flush()
        self.assertEqual(len(self._read()), logs.MAX_LINES_PER_S)
        self.now += 1.0
        self.writer.flush()
        notice = json.loads(self._read()[0])
        self.assertEqual(notice["count"], 1000 - logs.MAX_LINES_PER_S)
        self.assertEqual(notice["event"], "log_lines_dropped")

    def test_warnings_have_a_reserve_and_the_total_is_at_most_200_lines_per_second(self):
        for _ in range(1000):
            self.writer.add("{}", urgent=False)
        for _ in range(1000):
            self.writer.add('{"level":"warning"}', urgent=True)
        self.writer.flush()
        lines = self._read()
        self.assertLessEqual(len(lines), 200)
        self.assertEqual(lines.count('{"level":"warning"}'), logs.URGENT_RESERVE_LINES_PER_S)

    def test_a_stalled_reader_does_not_block_and_loses_only_lines_that_do_not_fit(self):
        line = '"' + "x" * 20_000 + '"'
        for _ in range(200):
            self.writer.add(line, urgent=False)
            self.writer.flush()
            self.now += 1.0
        self.assertLessEqual(self.writer._buffered_bytes, logs.MAX_BUFFERED_BYTES + 1000)
        for _ in range(200):
            self._read()
            self.writer.flush()
        self.assertEqual(self.writer._buffered_bytes, 0)

    def test_a_closed_reader_is_not_an_error(self):
        os.close(self.read_fd)
        self.writer.add("{}", urgent=False)
        self.writer.flush()
        self.read_fd, writer_fd = os.pipe()
        os.close(writer_fd)


if __name__ == "__main__":
    unittest.main()
