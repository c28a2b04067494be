"""Waits for several events."""

import trio


async def wait_for_any(*events: trio.Event) -> None:
    """Waits until one of some events is set."""
    async with trio.open_nursery() as nursery:
        for event in events:
            nursery.start_soon(_cancel_on_event, event, nursery.cancel_scope)


async def _cancel_on_event(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
