"""Settings, configuration, outcomes and other value classes that all packages share."""
