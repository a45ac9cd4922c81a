"""Has a gateway of the soak call from its own address, so that links tell gateways."""

import asyncio.base_events
import os

_create_connection = asyncio.base_events.BaseEventLoop.create_connection


async def _connect_from_own_host(self, *args, **options):
    if "SOAK_HOST" in os.environ:
        options.setdefault("local_addr", (os.environ["SOAK_HOST"], 0))
    return await _create_connection(self, *args, **options)


asyncio.base_events.BaseEventLoop.create_connection = _connect_from_own_host
