"""Run the service stand-in: ``python -m limpetwalk_bench.service``."""

from limpetwalk_bench.backend import program

from . import app
from . import settings


async def build(cfg: settings.ServiceSettings) -> program.StandIn:
    """Return the stand-in for its settings."""
    return app.ServiceApp(cfg)


if __name__ == "__main__":
    program.run(settings.ServiceSettings, build)
