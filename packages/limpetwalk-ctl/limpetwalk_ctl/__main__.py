"""Run limpetctl as ``python -m limpetwalk_ctl``."""

from . import main

main.run()
