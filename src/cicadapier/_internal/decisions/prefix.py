"""Identity of prompt prefixes.

A piece is a prefix block: a prompt is split into pieces of a fixed number of tokens. The id of a
piece is a hash of its parent's id and its text, and the root id is derived from client account,
model, adapter and weights version. Cache entries of another account or of older weights therefore
never match.
"""

import dataclasses
import hashlib

from cicadapier._internal.models import ids

_DIGEST_BYTES = 16
_MAX_NAME = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """The account and weights that a cached prefix belongs to.

    Prefixes are shared only within one scope.
    """

    account: ids.AccountId
    model: ids.ModelId
    adapter: str
    weights_version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The pieces and the length of a prompt, as placement uses them.

    Attributes:
        pieces: Ids of its complete pieces, in the order of the text.
        sizes: Number of tokens in each piece.
        total_tokens: Number of tokens in the whole prompt.
    """

    pieces: tuple[ids.PieceId, ...]
    sizes: tuple[int, ...]
    total_tokens: int

    def uncached_tokens(self, cached_pieces: int) -> int:
        """Returns the number of tokens to prefill when the first pieces are cached."""
        # The engine always computes at least the last token, to sample from it.
        return max(1, self.total_tokens - sum(self.sizes[:cached_pieces]))

    def pieces_within(self, tokens: int) -> int:
        """Returns how many leading pieces fit completely into a number of tokens."""
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
    """A part of a prompt that the caller identifies by name instead of by its text.

    Attributes:
        name: Name of the part; equal names after the same parent stand for equal text.
        tokens: Number of tokens in the part.
    """

    name: str
    tokens: int


def part_id(owner: ids.AccountId, model: ids.ModelId, part: Part) -> ids.PartId:
    """Returns the id of a part wherever it stands in a prompt.

    Args:
        owner: Account that shares its parts with no other; empty for all others together.
        model: The model.
        part: The part.
    """
    return ids.PartId(f"{owner}|{_bounded(model)}|{_bounded(part.name)}")


def _bounded(name: str) -> str:
    """Returns a name that a caller chose, or its hash if it is long."""
    if len(name) <= _MAX_NAME:
        return name
    return hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def uniform_prompt(pieces: tuple[ids.PieceId, ...], piece_tokens: int, total_tokens: int) -> Prompt:
    """Returns a prompt in which all pieces have the same size."""
    return Prompt(pieces, (piece_tokens,) * len(pieces), total_tokens)


def prompt_from_parts(parent: ids.PieceId, parts: tuple[Part, ...], total_tokens: int) -> Prompt:
    """Returns a prompt with one piece for each named part.

    Args:
        parent: Root id of the scope.
        parts: Parts of the prompt in order.
        total_tokens: Number of tokens in the whole prompt.
    """
    pieces = []
    for part in parts:
        parent = child_id(parent, f"{part.name}:{part.tokens}".encode())
        pieces.append(parent)
    sizes = tuple(part.tokens for part in parts)
    return Prompt(tuple(pieces), sizes, max(1, total_tokens, sum(sizes)))


def root_id(secret: bytes, scope: Scope) -> ids.PieceId:
    """Returns the parent id of the first piece of every prompt in a scope.

    Args:
        secret: Hash key shared by all routers, at most 64 bytes.
        scope: The scope.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=secret)
    for part in (scope.account, scope.model, scope.adapter, scope.weights_version):
        raw = part.encode()
        # The length prefix makes ("ab", "c") and ("a", "bc") hash differently.
        digest.update(len(raw).to_bytes(4, "big"))
        digest.update(raw)
    return ids.PieceId(digest.digest())


def child_id(parent: ids.PieceId, piece: bytes) -> ids.PieceId:
    """Returns the id of the piece that follows a parent.

    Args:
        parent: Id of the piece before it, or the root id.
        piece: Content of the piece.
    """
    return ids.PieceId(hashlib.blake2b(piece, digest_size=_DIGEST_BYTES, key=parent).digest())


def split_prompt(
    parent: ids.PieceId, text: bytes, piece_tokens: int, bytes_per_token: int
) -> Prompt:
    """Splits a prompt into pieces. A rest that does not fill a piece gets no id.

    Args:
        parent: Root id of the scope.
        text: The prompt in the form in which the engine receives it.
        piece_tokens: Number of tokens in one piece.
        bytes_per_token: Mean number of bytes of text in a token.
    """
    piece_bytes = piece_tokens * bytes_per_token
    pieces = []
    for start in range(0, len(text) - piece_bytes + 1, piece_bytes):
        parent = child_id(parent, text[start : start + piece_bytes])
        pieces.append(parent)
    total_tokens = max(1, -(-len(text) // bytes_per_token))
    return uniform_prompt(tuple(pieces), piece_tokens, total_tokens)


def fingerprint(scope: Scope, text: bytes) -> ids.Fingerprint:
    """Returns a hash of a whole request, by which requests that crash upstreams are recognized."""
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES)
    digest.update(scope.account.encode())
    digest.update(scope.model.encode())
    return ids.Fingerprint(digest.hexdigest())
