"""Bugs to plant in how the configuration and the settings are taken over."""

from tests import planted_bug

MUTANTS = [
    planted_bug.Mutant(
        "take an empty list of accounts for a deployment without accounts",
        "services/forwarded_requests.py",
        "if account is None and cfg.key_policy is configuration.KeyPolicy.REQUIRED:",
        "if account is None and cfg.content.accounts:",
        f"{planted_bug.SERVICES}.test_accounts_removed.AccountsRemovedTest",
    ),
    planted_bug.Mutant(
        "drain until the time to stop that was in force at the start",
        "kernel/service.py",
        "self.stop_times.set_limit(cfg.stop_limit_s)",
        "pass",
        "tests._internal.kernel.test_service.KernelTest",
    ),
    planted_bug.Mutant(
        "accept a lower configuration number",
        "services/configuration_service.py",
        "if document.number <= self.current.number:",
        "if document.number == self.current.number:",
        f"{planted_bug.SERVICES}.test_router_fleet.ConfigurationTest",
    ),
    planted_bug.Mutant(
        "apply a configuration with a lower number",
        "services/watched_configuration.py",
        "if candidate.number <= self.current.number:",
        "if False:",
        f"{planted_bug.FORWARDING_SERVICE}.ConfigurationTest",
    ),
]
