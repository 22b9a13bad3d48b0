"""A cluster scheduler for heterogeneous workloads."""

__all__ = ["__version__"]

__version__ = "0.1.0"
