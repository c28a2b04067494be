"""Tests of the command line: overview, exit codes and error messages."""

import contextlib
import hashlib
import io
import pathlib
import tempfile
import unittest

from cicadapier._internal.cli import main
from cicadapier._internal.commands import registry


def run(*args):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        exit_code = main.main(list(args))
    return exit_code, out.getvalue(), err.getvalue()


class MainTest(unittest.TestCase):
    def test_overview_lists_every_command(self):
        exit_code, out, _ = run("--help")
        self.assertEqual(exit_code, 0)
        for name in registry.COMMANDS:
            self.assertRegex(out, rf"(?m)^  {name} ")

    def test_every_command_has_help(self):
        for name in registry.COMMANDS:
            exit_code, out, _ = run(name, "--help")
            self.assertEqual((name, exit_code), (name, 0))
            self.assertIn("usage", out)

    def test_usage_errors_exit_with_code_2(self):
        self.assertEqual(run("nothing")[0], 2)
        self.assertEqual(run("serve")[0], 2)
        self.assertEqual(run("demo", "--routers", "many")[0], 2)
        self.assertEqual(run()[0], 2)

    def test_failure_prints_one_line(self):
        exit_code, _, err = run("status", "--operator", "http://127.0.0.1:1")
        self.assertEqual(exit_code, 1)
        exit_code, _, err = run("config", "check", "/nowhere.yaml")
        self.assertEqual((exit_code, err.count("\n")), (1, 1))
        self.assertIn("/nowhere.yaml", err)

    def test_new_key_is_printed_with_its_sha256_hash(self):
        _, out, _ = run("keys", "new")
        key, key_hash = out.split()[1], out.split()[3]
        self.assertEqual(hashlib.sha256(key.encode()).hexdigest(), key_hash)

    def test_config_check_prints_the_line_of_each_fault(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "d.yaml"
            path.write_text("accounts:\n  a:\n    weight: -1\n  b:\n    pools: [x]\n")
            exit_code, _, err = run("config", "check", str(path))
        self.assertEqual(exit_code, 1)
        self.assertIn(f"{path}:3: accounts.a.weight", err)


if __name__ == "__main__":
    unittest.main()
