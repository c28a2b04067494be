"""Decisions about clients that keep no limits: whose connection closes, and who has to wait."""
