"""Command line plumbing, separate from the commands' logic."""
