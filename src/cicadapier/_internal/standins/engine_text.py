"""Answers of the stand-in engine, a fixed function of the prompt so that they can be checked."""

import hashlib

DEFAULT_ANSWER_TOKENS = 24
_WORDS = (
    "amber", "basin", "cedar", "delta", "ember", "fjord", "grove", "heron", "inlet", "juniper",
    "kestrel", "lantern", "meadow", "nectar", "orchid", "pebble", "quartz", "river", "saffron",
    "thistle", "umber", "violet", "willow", "yarrow", "zephyr",
)  # fmt: skip


def make_token(prompt_digest: bytes, index: int) -> str:
    """Returns a token of the answer to a prompt."""
    digest = hashlib.blake2b(index.to_bytes(4, "big"), key=prompt_digest, digest_size=2).digest()
    word = _WORDS[int.from_bytes(digest, "big") % len(_WORDS)]
    return f"{word}{index} "


def hash_prompt(prompt: bytes) -> bytes:
    """Returns the digest from which the answer follows."""
    return hashlib.sha256(prompt).digest()


def make_answer(prompt: bytes, tokens: int) -> str:
    """Returns the whole answer to a prompt."""
    prompt_digest = hash_prompt(prompt)
    return "".join(make_token(prompt_digest, i) for i in range(tokens))
