"""Generates the protobuf and grpclib modules (committed) from the .proto files."""

import pathlib
import sys

from grpc_tools import protoc

SOURCE = pathlib.Path("src")
PROTO_FOLDER = SOURCE / "lycheegauge/internal/protocol/generated"


def main() -> int:
    """Runs protoc over each .proto file and returns its exit code."""
    files = sorted(str(path) for path in PROTO_FOLDER.glob("*.proto"))
    services = str(PROTO_FOLDER / "services.proto")
    common = ["protoc", f"--proto_path={SOURCE}"]
    return protoc.main([*common, f"--python_out={SOURCE}", *files]) or protoc.main(
        [*common, f"--grpclib_python_out={SOURCE}", services]
    )


if __name__ == "__main__":
    sys.exit(main())
