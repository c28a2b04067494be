"""Identity of prompt prefixes.

A prompt is cut into pieces of a fixed number of tokens. The id of a piece is a hash of its
parent's id and its text, and the root is keyed by client account, model, adapter and weights
version. Entries of another account or of older weights therefore never match.
"""

import dataclasses
import hashlib

from cicadapier._internal.models import ids

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """What a cached prefix belongs to."""

    account: ids.AccountId
    model: ids.ModelId
    adapter: str
    weights_version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt as placement sees it.

    Attributes:
        pieces: Ids of its full pieces, outermost prefix first.
        sizes: Tokens in each piece.
        total_tokens: Tokens in the whole prompt.
    """

    pieces: tuple[ids.PieceId, ...]
    sizes: tuple[int, ...]
    total_tokens: int

    def uncached_tokens(self, cached_pieces: int) -> int:
        """Returns the tokens to prefill where the first pieces are cached."""
        # The engine always computes at least the last token, to sample from it.
        return max(1, self.total_tokens - sum(self.sizes[:cached_pieces]))

    def pieces_within(self, tokens: int) -> int:
        """Returns how many of the first pieces fit into a number of tokens."""
        count = 0
        for size in self.sizes:
            tokens -= size
            if tokens < 0:
                break
            count += 1
        return count


EMPTY_PROMPT = Prompt((), (), 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt that its sender has named.

    Attributes:
        name: Its name; equal names under one parent stand for equal text.
        tokens: Its length.
    """

    name: str
    tokens: int


def uniform_prompt(pieces: tuple[ids.PieceId, ...], piece_tokens: int, total_tokens: int) -> Prompt:
    """Returns a prompt whose pieces all have the same size."""
    return Prompt(pieces, (piece_tokens,) * len(pieces), total_tokens)


def prompt_from_parts(parent: ids.PieceId, parts: tuple[Part, ...], total_tokens: int) -> Prompt:
    """Returns a prompt with one piece for each named part.

    Args:
        parent: Root of the scope.
        parts: Parts of the prompt in order.
        total_tokens: Tokens in the whole prompt.
    """
    pieces = []
    for part in parts:
        parent = child_id(parent, f"{part.name}:{part.tokens}".encode())
        pieces.append(parent)
    sizes = tuple(part.tokens for part in parts)
    return Prompt(tuple(pieces), sizes, max(1, total_tokens, sum(sizes)))


def root_id(secret: bytes, scope: Scope) -> ids.PieceId:
    """Returns the parent id of a scope's first pieces.

    Args:
        secret: Key shared by all routers, at most 64 bytes.
        scope: What the cached prefixes belong to.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=secret)
    for part in (scope.account, scope.model, scope.adapter, scope.weights_version):
        raw = part.encode()
        # The length in front keeps ("ab", "c") apart from ("a", "bc").
        digest.update(len(raw).to_bytes(4, "big"))
        digest.update(raw)
    return ids.PieceId(digest.digest())


def child_id(parent: ids.PieceId, piece: bytes) -> ids.PieceId:
    """Returns the id of a piece below its parent."""
    return ids.PieceId(hashlib.blake2b(piece, digest_size=_DIGEST_BYTES, key=parent).digest())


def split_prompt(
    parent: ids.PieceId, text: bytes, piece_tokens: int, bytes_per_token: int
) -> Prompt:
    """Cuts a prompt into pieces.

    Args:
        parent: Root of the scope.
        text: The prompt as the engine sees it.
        piece_tokens: Tokens in one piece.
        bytes_per_token: Mean bytes of text in a token.
    """
    piece_bytes = piece_tokens * bytes_per_token
    pieces = []
    for start in range(0, len(text) - piece_bytes + 1, piece_bytes):
        parent = child_id(parent, text[start : start + piece_bytes])
        pieces.append(parent)
    total_tokens = max(1, -(-len(text) // bytes_per_token))
    return uniform_prompt(tuple(pieces), piece_tokens, total_tokens)


def fingerprint(scope: Scope, text: bytes) -> ids.Fingerprint:
    """Returns an identity of a whole request, for requests that crash upstreams."""
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES)
    digest.update(scope.account.encode())
    digest.update(scope.model.encode())
    return ids.Fingerprint(digest.hexdigest())
