"""Recording of a possible run, if the deadline expires while the attempt is being reported."""

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
    """Services whose reports take longer than the deadline."""

    def __init__(self):
        pass

    async def report_attempt_ended(self, request, outcome):
        await trio.sleep(1.0)


class ReportTest(unittest.TestCase):
    def test_possible_run_is_recorded_before_the_attempt_is_reported(self):
        for outcome, may_have_run in (
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
                self.assertEqual(sequence.may_have_run, may_have_run)


if __name__ == "__main__":
    unittest.main()
