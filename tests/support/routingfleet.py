"""Simulated fleet of the benchmarks: small fake servers and entry hosts."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "benchmarks"))

import routing as measurement
import routingfakes

__all__ = ["measurement", "routingfakes"]
