"""Source mutations applied to a copy of the product, to prove that the soak finds them.

Each entry names a file, a line that occurs in it exactly once, and its replacement.
"""

import pathlib
import shutil

SOURCE = pathlib.Path(__file__).resolve().parents[2] / "src"
PACKAGE = "lycheegauge/internal"

MUTATIONS = {
    "second run after a lost answer": (
        f"{PACKAGE}/protocol/routetables.py",
        "return self in (Repetition.SAFE, Repetition.RESUMABLE_STREAM)",
        "return True",
    ),
    "a refusal after a send": (
        f"{PACKAGE}/daemons/forwardedrequest.py",
        "if self._may_have_run:\n            return forwardrules",
        "if False:\n            return forwardrules",
    ),
    "a table is never replaced": (
        f"{PACKAGE}/coordination/rosterview.py",
        "return self.table is None or table.version > self.table.version",
        "return self.table is None",
    ),
    "a farewell is forgotten": (
        f"{PACKAGE}/coordination/rosterview.py",
        "not in departed",
        "not in ()",
    ),
    "held bytes are not returned": (
        f"{PACKAGE}/transport/bytebudget.py",
        "self.budget.note_change(-held_bytes)",
        "self.budget.note_change(0)",
    ),
    "a lease kept too long": (
        f"{PACKAGE}/coordination/leases.py",
        "return now < self.ends_at",
        "return now < self.ends_at + 60.0",
    ),
}


def apply_mutation(name, folder):
    """Copies the source, applies one mutation and returns the folder of the copy."""
    path, original, mutated = MUTATIONS[name]
    copy = pathlib.Path(folder) / "src"
    shutil.copytree(SOURCE, copy, ignore=shutil.ignore_patterns("__pycache__"))
    text = (copy / path).read_text()
    assert text.count(original) == 1, (
        f"expected exactly one match in {path}: {original}"
    )
    (copy / path).write_text(text.replace(original, mutated))
    return copy
