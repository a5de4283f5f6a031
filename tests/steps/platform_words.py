import importlib
import json
import pathlib
import subprocess
import sys

import behave
from returns import result

from lycheegauge.internal.protocol import controlcalls, maporders, roster, routetables

ROOT = pathlib.Path(__file__).resolve().parents[2]
FOLDER = ROOT / "platform"


def load(name):
    """Imports a module of the platform adapter, which is not on the import path."""
    sys.path.append(str(FOLDER))
    try:
        return importlib.import_module(name)
    finally:
        sys.path.remove(str(FOLDER))


def make_dialect():
    return load("dialect").SpejlhusDialect()


def make_manifest(**changes):
    manifest = {
        "version": 7,
        "routes": [
            {
                "name": "r-1", "host": "shop.example", "pathPrefix": "/quotes/",
                "type": "streaming", "timeoutMs": 8000, "targetLatencyMs": 402,
                "priority": 1, "maxAttempts": 2, "anonymous": False,
                "resumable": True, "targetGapMs": 120, "sessionAffinity": True,
                "backends": [
                    {"service": "drafts", "weight": 90},
                    {"service": "desk", "weight": 10},
                ],
            },
            {
                "name": "r-2", "host": "shop.example", "pathPrefix": "/slots/",
                "type": "unsafe", "timeoutMs": 1500, "service": "desk",
                "maxAttempts": 1, "anonymous": True,
            },
        ],
        "services": [
            {
                "name": "drafts", "healthPath": "/healthz", "maxConnections": 418,
                "coldStartS": 3.0, "rampPerS": 38.0,
                "engine": {
                    "concurrency": 6, "kvTokens": 186000, "stride": 5,
                    "step_ms": 5.85, "per_seq_ms": 0.71, "read_per_s": 61200.0,
                    "usual": {"prompt": 835, "answer": 139}, "sets": 4,
                    "experts": 72, "placements": 8, "spare": 3, "report_lag_ms": 200.0,
                },
            },
            {"name": "desk", "maxConnections": 110, "coldStartS": 0, "rampPerS": 0},
        ],
        "limits": {"maxBodyBytes": 4194304},
        "tenants": [{"name": "office", "apiKeys": ["k1", "k2"], "priority": 1}],
    }  # fmt: skip
    manifest.update(changes)
    return manifest


def read(manifest):
    return make_dialect().parse_table(json.dumps(manifest).encode())


@behave.then("the fields of the example configuration are decoded")
def validate_table(context):
    table = read(make_manifest()).unwrap()
    first, second = table.routes
    assert first.repetition is routetables.Repetition.RESUMABLE_STREAM
    assert (first.timeout_s, first.target_first_s, first.target_gap_s) == (
        8.0, 0.402, 0.12,
    )  # fmt: skip
    weights = [(item.service, item.weight) for item in first.services]
    assert weights == [("drafts", 90.0), ("desk", 10.0)]
    assert second.repetition is routetables.Repetition.UNSAFE
    assert second.open_to_all and second.attempts_max == 1
    assert [item.service for item in second.services] == ["desk"]
    drafts, desk = table.services
    assert (drafts.cold_rate, drafts.slots) == (38.0, 6)
    assert drafts.experts == routetables.ExpertLayout(4, 72, 8, 3, 0.2, 0.0)
    assert desk.experts is None and desk.cold_rate == 0.0
    assert table.needs_keys and table.key_holders[0].keys == ("k1", "k2")
    assert not read(make_manifest(tenants=None)).unwrap().needs_keys


@behave.then("inconsistent configurations are rejected")
def check_invalid_configurations(context):
    def change_route(**fields):
        manifest = make_manifest()
        manifest["routes"][0].update(fields)
        return manifest

    zero_weight = [{"service": "drafts", "weight": 0}]
    tenants = [{"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}]
    for manifest in (
        change_route(backends=[{"service": "nobody", "weight": 1}]),
        change_route(pathPrefix="/slots/"),
        change_route(backends=zero_weight),
        change_route(timeoutMs=0),
        change_route(type="other"),
        make_manifest(tenants=tenants),
        make_manifest(version="seven"),
    ):
        assert isinstance(read(manifest), result.Failure), manifest
    cut = json.dumps(make_manifest()).encode()[:-20]
    assert isinstance(make_dialect().parse_table(cut), result.Failure)


@behave.then("unknown fields of a configuration are ignored")
def check_unknown_fields(context):
    manifest = make_manifest(another={"x": 1})
    manifest["routes"][0]["other"] = True
    assert read(manifest) == read(make_manifest())


def make_heartbeat(**changes):
    heartbeat = {
        "service": "drafts", "address": "10.128.0.9:8080", "zone": "z-a",
        "version": "v1", "concurrency": 6, "state": "ready",
        "coldRemainingMs": 1500, "stage": "both", "sequence": 4, "born": 1777,
    }  # fmt: skip
    heartbeat.update(changes)
    return {name: value for name, value in heartbeat.items() if value is not ...}


def read_heartbeat(heartbeat):
    return make_dialect().parse_announcement("i-1", json.dumps(heartbeat).encode())


@behave.then("an announcement is decoded with its incarnation")
def check_announcement(context):
    assert read_heartbeat(make_heartbeat()).unwrap() == roster.ServerListing(
        "i-1", 1777, 4, "drafts", "10.128.0.9:8080", "z-a", 6, 1.5, False
    )
    assert read_heartbeat(make_heartbeat(state="draining")).unwrap().leaving
    departure = make_dialect().parse_departure("i-1", b'{"born": 1777}')
    assert departure == roster.Departure("i-1", 1777)
    assert make_dialect().parse_departure("i-1", b"\xff").born_ms == 0


@behave.then("announcements with missing or invalid fields are rejected")
def check_invalid_announcements(context):
    for heartbeat in (
        make_heartbeat(state="sleeping"), make_heartbeat(sequence="4"),
        make_heartbeat(service=...), make_heartbeat(address="nowhere"),
        make_heartbeat(address=7), make_heartbeat(zone=None),
        make_heartbeat(born=1.5), make_heartbeat(born="1777"),
        make_heartbeat(concurrency=True),
    ):  # fmt: skip
        assert isinstance(read_heartbeat(heartbeat), result.Failure), heartbeat
    read_raw = make_dialect().parse_announcement
    assert isinstance(read_raw("i-1", b"\xff\x00"), result.Failure)


@behave.then("each call of the platform is decoded, and no other")
def check_calls(context):
    dialect = make_dialect()
    expected = {
        ("GET", "resolve?name=a&region=r&zone=z-a"): controlcalls.ListEntryHosts("z-a"),
        ("GET", "ready"): controlcalls.CheckReadiness(),
        ("POST", "Config.Replace"): controlcalls.PutTable(),
        ("GET", "Config.Get"): controlcalls.ReadTable(),
        ("POST", "Evacuation.Start/z-a"): controlcalls.SetZone("z-a", True),
        ("POST", "Evacuation.End/z-a"): controlcalls.SetZone("z-a", False),
        ("POST", "Instances.Heartbeat/i-1"): controlcalls.Announce("i-1"),
        ("POST", "Instances.Leave/i-1"): controlcalls.Leave("i-1"),
        ("POST", "Instances.Leave/"): None,
        ("GET", "Config.Replace"): None,
    }
    for (method, path), call in expected.items():
        assert dialect.parse_call(method, f"/lycheegauge/{path}") == call, path
    assert dialect.parse_call("GET", "/other/ready") is None
    assert (
        dialect.parse_api_key("Token abc") == "abc"
        and dialect.parse_api_key("abc") == ""
    )
    written = json.loads(dialect.encode_entry_addresses(("10.1.0.40:8227",), 2.0))
    assert written == {"addresses": ["10.1.0.40:8227"], "ttlS": 2.0}


REPORT = {
    "stage": "both", "models": [], "busy": True, "sequence": 0, "waiting": 0,
    "group": {"name": "g0", "epoch": 3, "rank": 2, "state": "open"}, "size": 12,
    "pace": 1.5, "step": 26, "map": 4, "prepared": 5,
    "armed": {"version": 5, "step": 30}, "held": 30,
}  # fmt: skip


@behave.then("a rank's report and counts are decoded")
def check_report(context):
    dialect = load("enginedialect").SpejlhusEngineDialect()
    counts = json.dumps({"step": 26, "epoch": 3, "counts": [1, 2]}).encode()
    lists = json.dumps({"map": {"version": 4, "experts": [[0, 2], [1]]}}).encode()
    report = dialect.parse_report(json.dumps(REPORT).encode(), counts, lists).unwrap()
    assert (report.epoch, report.rank, report.size, report.pace) == (3, 2, 12, 1.5)
    assert (report.prepared_version, report.armed_step, report.held_step) == (5, 30, 30)
    assert report.counts == (1, 2) and report.experts[0].experts == (0, 2)
    idle = {**REPORT, "prepared": None, "armed": None, "held": None}
    report = dialect.parse_report(json.dumps(idle).encode(), None, None).unwrap()
    assert (report.prepared_version, report.armed_version, report.held_step) == (
        -1, -1, -1,
    )  # fmt: skip
    broken = {**REPORT, "group": {**REPORT["group"], "state": "broken"}}
    assert (
        not dialect.parse_report(json.dumps(broken).encode(), None, None)
        .unwrap()
        .is_open
    )
    assert isinstance(dialect.parse_report(b"{}", None, None), result.Failure)
    whole = json.dumps(idle).encode()
    for counts, lists in ((b"", None), (None, b""), (b"{}", None), (None, b"{}")):
        assert isinstance(dialect.parse_report(whole, counts, lists), result.Failure)


@behave.then("orders contain exactly the fields of their kind")
def check_orders(context):
    dialect = load("enginedialect").SpejlhusEngineDialect()
    kinds = maporders.MapOrderKind
    extra = {
        kinds.PREPARE: {"version", "map"}, kinds.ARM: {"version", "step"},
        kinds.DISARM: {"version"}, kinds.HOLD: {"step"}, kinds.GO: {"step"},
    }  # fmt: skip
    layer = maporders.LayerPlacement((maporders.RankExperts((0, 2)),))
    for kind, fields in extra.items():
        call = dialect.encode_order(maporders.MapOrder(kind, 3, 9, 5, 30, (layer,)))
        document = json.loads(call.body)
        assert document.keys() == {"operation", "epoch", "fence", *fields}
        assert document["operation"] == kind.value and document["fence"] == 9
        assert document.get("map", [[[0, 2]]]) == [[[0, 2]]]


def count_lines(paths):
    return sum(len(path.read_text().splitlines()) for path in paths)


@behave.then(
    "the adapter is under a tenth of the source, which does not mention the platform"
)
def check_size(context):
    source = [
        path for path in (ROOT / "src").rglob("*.py") if "generated" not in path.parts
    ]
    assert count_lines(FOLDER.glob("*.py")) * 10 < count_lines(source)
    for path in source:
        text = path.read_text()
        for word in ("spejlhus", "X-Attempt", "X-Tenant", "apiKeys", "Heartbeat/"):
            assert word not in text, f"{path.name} mentions {word}"


@behave.then(
    "a script in the folder still imports the standard library's platform module"
)
def check_shadowing(context):
    code = (
        f"import sys; sys.path.insert(0, {str(FOLDER)!r}); "
        "import platform; print(platform.python_implementation())"
    )
    command = [sys.executable, "-c", code]
    completed = subprocess.run(command, capture_output=True, text=True, cwd=FOLDER)
    assert completed.stdout.strip() == "CPython", completed.stderr
