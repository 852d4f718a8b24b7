"""Run a Starlette application with Hypercorn."""

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config


def run(app, *, address):
    """Serve ``app`` on ``address`` ("ip:port") until the process is stopped."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.5
    config.keep_alive_timeout = 600

    async def main():
        await serve(app, config)

    anyio.run(main)
