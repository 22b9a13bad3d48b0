"""A demonstration: a whole cell under load, in one process."""

from .cell import EmbeddedCell
from .report import DemoReport
from .run import run_demo

__all__ = ["DemoReport", "EmbeddedCell", "run_demo"]
