"""Conversion of the messages about quotas of accounts to and from protocol buffers."""

import math

from cicadapier._internal.decisions.account_quotas import messages
from cicadapier._internal.models import addresses
from cicadapier._internal.models import ids
from cicadapier._internal.protocols import peers_pb2

MAX_ENTRIES = 64  # Accounts in one message, so that it fits into a datagram.
MAX_AMOUNT = 1e15
MAX_WAIT_S = 10.0  # An issuer is asked again after this time, whatever it said.


def encode_request(request: messages.QuotaRequest) -> peers_pb2.AccountQuotaRequest:
    """Returns the wire form of a request, cut to the bounds."""
    return peers_pb2.AccountQuotaRequest(
        sender=request.sender,
        reply_to=request.reply_to,
        asks=[
            peers_pb2.AccountAsk(
                account=ask.account,
                number=ask.number,
                amount=ask.amount,
                least=ask.least,
                demand_per_s=ask.demand_per_s,
            )
            for ask in request.asks[:MAX_ENTRIES]
        ],
    )


def decode_request(message: peers_pb2.AccountQuotaRequest) -> messages.QuotaRequest | None:
    """Returns the request of a wire message; entries that make no sense are ignored.

    Returns:
        The request, or None if it names no address to answer to.
    """
    if not addresses.is_address(message.reply_to):
        return None
    asks = [_decode_ask(item) for item in message.asks[:MAX_ENTRIES]]
    return messages.QuotaRequest(
        ids.VmId(message.sender),
        ids.Address(message.reply_to),
        tuple(ask for ask in asks if ask is not None),
    )


def encode_answer(answer: messages.QuotaAnswer) -> peers_pb2.AccountQuotaAnswer:
    """Returns the wire form of an answer, cut to the bounds."""
    return peers_pb2.AccountQuotaAnswer(
        issuer=answer.issuer,
        grants=[
            peers_pb2.AccountGrant(
                account=grant.account,
                number=grant.number,
                amount=grant.amount,
                wait_s=grant.wait_s,
            )
            for grant in answer.grants[:MAX_ENTRIES]
        ],
    )


def decode_answer(message: peers_pb2.AccountQuotaAnswer) -> messages.QuotaAnswer:
    """Returns the answer of a wire message; entries that make no sense are ignored."""
    grants = tuple(
        messages.Grant(
            ids.AccountId(item.account), item.number, item.amount, min(item.wait_s, MAX_WAIT_S)
        )
        for item in message.grants[:MAX_ENTRIES]
        if _is_amount(item.amount) and _is_amount(item.wait_s)
    )
    return messages.QuotaAnswer(ids.VmId(message.issuer), grants)


def _decode_ask(message: peers_pb2.AccountAsk) -> messages.Ask | None:
    if not all(map(_is_amount, (message.amount, message.least, message.demand_per_s))):
        return None
    return messages.Ask(
        ids.AccountId(message.account),
        message.number,
        message.amount,
        min(message.least, message.amount),
        message.demand_per_s,
    )


def _is_amount(value: float) -> bool:
    return math.isfinite(value) and 0 <= value <= MAX_AMOUNT
