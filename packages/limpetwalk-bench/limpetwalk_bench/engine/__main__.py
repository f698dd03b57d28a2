"""Run the engine stand-in: ``python -m limpetwalk_bench.engine``."""

from limpetwalk_bench.backend import program

from . import app
from . import settings


async def build(cfg: settings.EngineSettings) -> program.StandIn:
    """Return the stand-in for its settings."""
    return app.EngineApp(cfg)


if __name__ == "__main__":
    program.run(settings.EngineSettings, build)
