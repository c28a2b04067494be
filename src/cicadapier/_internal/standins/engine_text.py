"""Text of the stand-in engine's answers.

An answer is a deterministic function of its prompt, so that tests can check it.
"""

import hashlib

DEFAULT_ANSWER_TOKENS = 24
_WORDS = (
    "amber", "basin", "cedar", "delta", "ember", "fjord", "grove", "heron", "inlet", "juniper",
    "kestrel", "lantern", "meadow", "nectar", "orchid", "pebble", "quartz", "river", "saffron",
    "thistle", "umber", "violet", "willow", "yarrow", "zephyr",
)  # fmt: skip


def make_token(prompt_digest: bytes, index: int) -> str:
    """Returns the token at an index of the answer to a prompt."""
    digest = hashlib.blake2b(index.to_bytes(4, "big"), key=prompt_digest, digest_size=2).digest()
    word = _WORDS[int.from_bytes(digest, "big") % len(_WORDS)]
    return f"{word}{index} "


def hash_prompt(prompt: bytes) -> bytes:
    """Returns the digest of a prompt, from which its answer is derived."""
    return hashlib.sha256(prompt).digest()


def make_answer(prompt: bytes, tokens: int) -> str:
    """Returns the answer to a prompt, of the given number of tokens."""
    prompt_digest = hash_prompt(prompt)
    return "".join(make_token(prompt_digest, i) for i in range(tokens))
