"""What is known of a request whose time ends while an attempt is being reported."""

import unittest

import trio

from cicadapier._internal.decisions import retries
from cicadapier._internal.models import ids
from cicadapier._internal.models import outcomes
from cicadapier._internal.models import settings
from cicadapier._internal.services import request_context
from tests import support

POOL = ids.PoolId("desk")


class _Services(request_context.Services):
    """Services that take long over a report."""

    def __init__(self):
        pass

    async def report_attempt_ended(self, request, outcome):
        await trio.sleep(1.0)


class ReportTest(unittest.TestCase):
    def test_a_request_that_may_have_run_is_known_as_such_before_it_is_reported(self):
        for outcome, ran in (
            (outcomes.Complete(504), True),
            (outcomes.SentNoAnswer("lost", crashed=False), True),
            (outcomes.RefusedBeforeRunning("full"), False),
            (outcomes.NotSent("refused"), False),
        ):
            with self.subTest(outcome):
                budget = retries.RetryBudget(settings.RetryBudget())
                policy = retries.RetryPolicy(repeatable=False, resumable=False, max_runs=1)
                sequence = retries.AttemptSequence(policy, budget, POOL)

                async def main(outcome=outcome, sequence=sequence):
                    async def attempt(placed):
                        return outcome

                    with trio.move_on_after(0.1):
                        await _Services().run_attempts(ids.RequestId("q"), sequence, None, attempt)

                support.run(main)
                self.assertEqual(sequence.may_have_run, ran)


if __name__ == "__main__":
    unittest.main()
