"""Answers of the store that are newer than a question, shared by all that wait for one."""

import unittest

import trio

from cicadapier._internal.services import fresh_answers
from tests import support

ANSWER_S = 0.2


class _Store:
    """Answers each query after a while.

    Attributes:
        sent_at: Times at which queries were sent.
        answers_after_s: Time until an answer.
        succeeds: Whether queries are answered.
    """

    def __init__(self):
        self.sent_at = []
        self.answers_after_s = ANSWER_S
        self.succeeds = True

    async def query(self):
        self.sent_at.append(trio.current_time())
        await trio.sleep(self.answers_after_s)
        return self.succeeds


def _run(test):
    async def main():
        store = _Store()
        answers = fresh_answers.FreshAnswers(store.query)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(answers.run)
            await test(store, answers, nursery)
            nursery.cancel_scope.cancel()

    support.run(main)


class FreshAnswersTest(unittest.TestCase):
    def test_whoever_asks_during_a_query_waits_for_the_next_one(self):
        async def test(store, answers, nursery):
            nursery.start_soon(answers.wait, 1.0)
            await trio.sleep(ANSWER_S / 2)
            asked_at = trio.current_time()
            self.assertTrue(await answers.wait(1.0))
            self.assertGreaterEqual(store.sent_at[-1], asked_at)
            self.assertGreaterEqual(trio.current_time(), store.sent_at[-1] + ANSWER_S)

        _run(test)

    def test_all_that_wait_share_one_query(self):
        async def test(store, answers, nursery):
            async with trio.open_nursery() as waiting:
                for _ in range(50):
                    waiting.start_soon(answers.wait, 1.0)
            self.assertLessEqual(len(store.sent_at), 2)

        _run(test)

    def test_a_query_that_fails_or_is_late_confirms_nothing(self):
        async def test(store, answers, nursery):
            store.succeeds = False
            self.assertFalse(await answers.wait(1.0))
            store.succeeds = True
            self.assertFalse(await answers.wait(ANSWER_S / 2))

        _run(test)

    def test_a_query_without_an_answer_holds_up_the_next_one_for_a_bounded_time(self):
        async def test(store, answers, nursery):
            store.answers_after_s = 100.0
            self.assertFalse(await answers.wait(0.1))
            store.answers_after_s = ANSWER_S
            self.assertTrue(await answers.wait(fresh_answers.QUERY_TIMEOUT_S + 2 * ANSWER_S))

        _run(test)

    def test_nothing_is_sent_unless_somebody_asks(self):
        async def test(store, answers, nursery):
            await trio.sleep(10.0)
            self.assertEqual(store.sent_at, [])

        _run(test)


if __name__ == "__main__":
    unittest.main()
