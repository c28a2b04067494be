"""Conversion of requests to read the store for others, and of reports, to protocol buffers."""

from cicadapier._internal.decisions.fleet import shared_reads
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import peers_pb2

Message = shared_reads.ReadRequest | shared_reads.ReadReport


def encode_request(request: shared_reads.ReadRequest) -> peers_pb2.ReadRequest:
    """Returns the wire form of a request."""
    return peers_pb2.ReadRequest(
        sender=request.sender, reply_to=request.reply_to, number=request.number
    )


def decode_request(message: peers_pb2.ReadRequest) -> shared_reads.ReadRequest:
    """Returns the request of a wire message."""
    return shared_reads.ReadRequest(
        ids.VmId(message.sender), ids.Address(message.reply_to), message.number
    )


def encode_report(report: shared_reads.ReadReport) -> peers_pb2.ReadReport:
    """Returns the wire form of a report."""
    return peers_pb2.ReadReport(
        sender=report.sender,
        kind=report.kind,
        epoch=report.epoch,
        complete_from=report.complete_from,
        revision=report.revision,
        batches=[
            peers_pb2.ReadBatch(
                since=batch.since,
                until=batch.until,
                changes=[
                    peers_pb2.ReadChange(
                        name=change.name,
                        revision=change.revision,
                        deleted=change.deleted,
                        spec=change.spec,
                    )
                    for change in batch.changes
                ],
            )
            for batch in report.batches
        ],
        echoes=[
            peers_pb2.ReadEcho(
                number=echo.number, queried_after_s=echo.queried_after_s, listener=echo.listener
            )
            for echo in report.echoes
        ],
    )


def decode_report(message: peers_pb2.ReadReport) -> shared_reads.ReadReport:
    """Returns the report of a wire message."""
    return shared_reads.ReadReport(
        ids.VmId(message.sender),
        message.kind,
        ids.StoreEpoch(message.epoch) if message.HasField("epoch") else None,
        message.complete_from,
        message.revision,
        tuple(
            shared_reads.Batch(
                batch.since,
                batch.until,
                tuple(
                    shared_reads.ReportedChange(
                        change.name, change.revision, change.deleted, change.spec
                    )
                    for change in batch.changes
                ),
            )
            for batch in message.batches
        ),
        tuple(
            shared_reads.Echo(ids.VmId(echo.listener), echo.number, echo.queried_after_s)
            for echo in message.echoes
        ),
    )
