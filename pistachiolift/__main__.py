"""Entry point of ``python -m pistachiolift``."""

from .cli import main

main()
