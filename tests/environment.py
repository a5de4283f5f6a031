"""Behave hooks shared by all scenarios: import path, Hypothesis profile, clean-up."""

import gc
import pathlib
import sys

import hypothesis

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")


def before_all(context):
    # All step modules are loaded here. A full collection of them takes 80 to 100 ms,
    # for which tests that measure pauses would otherwise blame the code.
    gc.collect()
    gc.freeze()


def before_scenario(context, scenario):
    context.closers = []


def after_scenario(context, scenario):
    for close in reversed(context.closers):
        close()
