"""Conversion of evidence about crashes of upstreams to and from protocol buffers."""

from cicadapier._internal.decisions import poison
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import peers_pb2


def encode_evidence(evidence: poison.Evidence) -> peers_pb2.Crash:
    """Returns the wire form of evidence."""
    crash = evidence.crash
    return peers_pb2.Crash(
        fingerprint=crash.fingerprint,
        upstream=crash.upstream,
        incarnation=crash.incarnation,
        parts=crash.parts,
        answering=crash.answering,
        ran_s=crash.ran_s,
        age_s=evidence.age_s,
    )


def decode_evidence(message: peers_pb2.Crash) -> poison.Evidence:
    """Returns the evidence in a wire message; parts beyond the bound are ignored."""
    crash = poison.Crash(
        ids.Fingerprint(message.fingerprint),
        ids.UpstreamId(message.upstream),
        ids.Incarnation(message.incarnation),
        tuple(ids.PartId(part) for part in message.parts[: poison.MAX_PARTS]),
        message.answering,
        max(0.0, message.ran_s),
    )
    return poison.Evidence(crash, max(0.0, message.age_s))


def encode_sound(sound: poison.SoundCause) -> peers_pb2.SoundCause:
    """Returns the wire form of a cause that is sound."""
    return peers_pb2.SoundCause(cause=sound.cause, age_s=sound.age_s)


def decode_sound(message: peers_pb2.SoundCause) -> poison.SoundCause:
    """Returns the sound cause in a wire message."""
    return poison.SoundCause(ids.PartId(message.cause), max(0.0, message.age_s))
