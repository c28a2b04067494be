"""Tests of traces, workloads and trace replay."""

import pathlib
import tempfile
import unittest

from cicadapier._internal.decisions import members
from cicadapier._internal.decisions import placement
from cicadapier._internal.experiments import policies
from cicadapier._internal.experiments import replay
from cicadapier._internal.experiments import replay_faults
from cicadapier._internal.experiments import traces
from cicadapier._internal.experiments import workloads
from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids
from cicadapier._internal.standins import deployments

LARKSPUR = deployments.DeploymentName.LARKSPUR
SHORT = workloads.WorkloadOptions(duration_s=8.0)


def replay_short(policy=policies.PolicyName.OURS, faults=()):
    plan = replay.Plan(deployments.LARKSPUR, policy, 1, faults=tuple(faults))
    return replay.Replay(plan, workloads.make_trace(LARKSPUR, 1, SHORT)).run()


class ReplayTest(unittest.TestCase):
    def test_same_seed_gives_the_same_summary(self):
        self.assertEqual(replay_short().summary(), replay_short().summary())

    def test_every_policy_finishes_every_request_of_a_light_trace(self):
        light = workloads.WorkloadOptions(duration_s=5.0, load=0.1)
        requests = workloads.make_trace(LARKSPUR, 2, light)
        for policy in policies.PolicyName:
            plan = replay.Plan(deployments.LARKSPUR, policy, 2)
            summary = replay.Replay(plan, requests).run().summary()
            self.assertEqual((policy, summary["unfinished"], summary["refusals"]), (policy, 0, 0))

    def test_own_policy_has_a_higher_hit_rate_than_the_baselines(self):
        ours = replay_short().hit_rate()
        for name in ("RANDOM", "ROUND_ROBIN", "LEAST_LOADED"):
            self.assertGreater(ours, replay_short(policies.PolicyName[name]).hit_rate() + 0.1)

    def test_crash_loses_no_request(self):
        fault = replay_faults.ReplayFault(
            3.0, replay_faults.ReplayFaultKind.CRASH, "quill-models-2", 2.0
        )
        report = replay_short(faults=[fault])
        self.assertEqual((report.unfinished(), report.refusals()), (0, 0))
        self.assertGreater(sum(record.retries for record in report.records), 0)

    def test_loss_reported_twice_retries_a_request_once(self):
        fault = replay_faults.ReplayFault(
            4.0, replay_faults.ReplayFaultKind.CRASH, "lm-pool-2", 1e9
        )
        andino = deployments.DeploymentName.ANDINO
        requests = workloads.make_trace(
            andino, 1, workloads.WorkloadOptions(duration_s=8.0, load=0.9)
        )
        plan = replay.Plan(deployments.ANDINO, policies.PolicyName.CLAIRVOYANT, 1, faults=(fault,))
        report = replay.Replay(plan, requests).run()
        self.assertEqual((report.unfinished(), report.refusals()), (0, 0))

    def test_trace_round_trips_through_a_file(self):
        requests = workloads.make_trace(LARKSPUR, 3, SHORT)
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "t.jsonl"
            traces.write(path, requests)
            loaded = traces.read(path)
            path.write_text('{"time": "soon"}\n')
            with self.assertRaises(ValueError):
                traces.read(path)
        self.assertEqual([r.pieces for r in loaded], [r.pieces for r in requests])

    def test_replay_and_service_make_the_same_choices(self):
        domain = ids.FailureDomainId("here")
        pool = configuration.Pool(
            configuration.PoolKind.MODEL,
            {
                ids.UpstreamId(f"u{i}"): configuration.Upstream(ids.Address(f"h:{i + 1}"), domain)
                for i in range(5)
            },
        )
        true_state = policies.TrueState({}, None)
        replayed = policies.make_factory(policies.PolicyName.OURS, 0, true_state)(pool, domain, 0.0)
        served = placement.make_policy(pool, domain, 0.0)
        self.assertIs(type(replayed), type(served))
        for number, req in enumerate(workloads.make_trace(LARKSPUR, 4, SHORT)):
            prompt = placement.prefix.uniform_prompt(req.pieces, 2048, req.total_tokens)
            placement_req = members.PlacementRequest(
                ids.RequestId(f"r{number}"), prompt, req.service_class
            )
            choices = [policy.choose(placement_req, req.at) for policy in (replayed, served)]
            self.assertEqual(choices[0], choices[1])
            for policy in (replayed, served):
                policy.record_sent(placement_req, choices[0].estimate, req.at)


if __name__ == "__main__":
    unittest.main()
