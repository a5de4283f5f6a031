"""Checks that ``from`` imports bring in modules only, never names (project style)."""

import ast
import importlib.util
import pathlib
import sys


def find_name_imports(path: pathlib.Path) -> list[str]:
    """Lists the ``from`` imports of ``path`` whose target is not a module."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module in (None, "__future__"):
            continue
        for alias in node.names:
            full_name = f"{node.module}.{alias.name}"
            if not is_module(full_name):
                found.append(f"{path}:{node.lineno}: imports the name {full_name}")
    return found


def is_module(full_name: str) -> bool:
    """Returns whether ``full_name`` can be imported as a module."""
    try:
        return importlib.util.find_spec(full_name) is not None
    except ModuleNotFoundError:
        return False


def main(folders: list[str]) -> int:
    """Prints each import that breaks the rule and returns the exit code."""
    paths = [path for folder in folders for path in pathlib.Path(folder).rglob("*.py")]
    paths = [path for path in paths if "generated" not in path.parts]
    found = [line for path in sorted(paths) for line in find_name_imports(path)]
    for line in found:
        print(line)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
