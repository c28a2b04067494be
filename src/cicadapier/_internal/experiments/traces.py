"""Traces of requests, stored as JSON lines."""

import collections.abc
import dataclasses
import hashlib
import os
import pathlib

import msgspec

from cicadapier._internal.models import configuration
from cicadapier._internal.models import ids

PIECE_TOKENS = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class TraceRequest:
    """One request of a trace.

    Attributes:
        at: Arrival time, in seconds from the start of the trace.
        account: Client account.
        service_class: Latency class.
        pieces: Ids of the complete pieces of the prompt, in the order of the text.
        total_tokens: Number of tokens in the prompt.
        output_tokens: Number of tokens in the answer.
    """

    at: float
    account: ids.AccountId
    service_class: configuration.ServiceClass
    pieces: tuple[ids.PieceId, ...]
    total_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """A part of a prompt; equal names stand for equal text."""

    name: str
    tokens: int


class _Line(msgspec.Struct):
    """A request as one line of a trace file."""

    time: float
    account: str
    service_class: str
    pieces: list[str]
    tokens: int
    answer: int


def split_into_pieces(
    account: str, segments: collections.abc.Iterable[Segment]
) -> tuple[tuple[ids.PieceId, ...], int]:
    """Splits a prompt into pieces.

    The id of a piece is a hash of the account and of the segments up to the end of the piece.

    Returns:
        The ids of the complete pieces and the number of tokens in the prompt.
    """
    pieces: list[ids.PieceId] = []
    prefix_hash = hashlib.blake2b(account.encode(), digest_size=16)
    total = 0
    for segment in segments:
        start = total
        total += segment.tokens
        while (len(pieces) + 1) * PIECE_TOKENS <= total:
            end = (len(pieces) + 1) * PIECE_TOKENS
            piece_hash = prefix_hash.copy()
            piece_hash.update(f"{segment.name}:{end - start}".encode())
            pieces.append(ids.PieceId(piece_hash.digest()))
        prefix_hash.update(f"{segment.name}:{segment.tokens}|".encode())
    return tuple(pieces), total


def write(path: str | os.PathLike[str], requests: collections.abc.Iterable[TraceRequest]) -> None:
    """Writes a trace to a file."""
    with pathlib.Path(path).open("wb") as file:
        for req in requests:
            line = _Line(
                round(req.at, 6),
                req.account,
                req.service_class.value,
                [piece.hex() for piece in req.pieces],
                req.total_tokens,
                req.output_tokens,
            )
            file.write(msgspec.json.encode(line) + b"\n")


def read(path: str | os.PathLike[str]) -> list[TraceRequest]:
    """Reads a trace from a file.

    Raises:
        OSError: The file cannot be read.
        ValueError: A line does not match the format.
    """
    requests = []
    for number, raw in enumerate(pathlib.Path(path).read_bytes().splitlines(), 1):
        try:
            line = msgspec.json.decode(raw, type=_Line)
            requests.append(
                TraceRequest(
                    line.time,
                    ids.AccountId(line.account),
                    configuration.ServiceClass(line.service_class),
                    tuple(ids.PieceId(bytes.fromhex(piece)) for piece in line.pieces),
                    line.tokens,
                    line.answer,
                )
            )
        except (msgspec.MsgspecError, ValueError) as exc:
            raise ValueError(f"{path}:{number}: {exc}") from exc
    return requests
