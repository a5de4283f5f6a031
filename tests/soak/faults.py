"""The faults that the soak injects: a registry, and schedules drawn from a seed.

A fault is a function of the fleet and a random generator of its own; it lasts until
the function returns. ``LOSS_LOCK`` lets at most one log host be lost at a time, since
the deployment promises to tolerate only that. All log hosts may still be killed at
once, because they keep their disks.
"""

import dataclasses
import random
import signal
import threading
import time

from support import processes

DURATION_S = 8.0
FAULTS_MIN, FAULTS_MAX = 5, 9
CATCH_UP_S = 4.0
"""How long a restarted log host still counts as lost; see docs/promises.md."""

LOSS_LOCK = threading.Lock()
_faults = {}
_added_faults = {}
ADDED_FAULTS_MAX = 2


def register_fault(run):
    """Registers a fault under the name of its function."""
    _faults[run.__name__] = run
    return run


def register_added_fault(run):
    """Registers a fault that is drawn after the others.

    It doesn't change the faults that a seed draws otherwise, so that the recorded
    seeds still play the schedules that failed.
    """
    _added_faults[run.__name__] = run
    return run


@dataclasses.dataclass(frozen=True)
class ScheduledFault:
    """One fault of a schedule, injected ``at_s`` after the callers started."""

    at_s: float
    name: str
    seed: int


def draw_schedule(rng):
    """Draws a schedule of faults, which may overlap in time."""
    count = rng.randint(FAULTS_MIN, FAULTS_MAX)
    drawn = [
        ScheduledFault(
            round(rng.uniform(0.0, DURATION_S), 2),
            rng.choice(sorted(_faults)),
            rng.randrange(1 << 30),
        )
        for _ in range(count)
    ]
    added_rng = random.Random(repr(drawn))
    drawn += [
        ScheduledFault(
            round(added_rng.uniform(0.0, DURATION_S), 2),
            added_rng.choice(sorted(_added_faults)),
            added_rng.randrange(1 << 30),
        )
        for _ in range(added_rng.randint(0, ADDED_FAULTS_MAX))
    ]
    return sorted(drawn, key=lambda item: item.at_s)


def run_fault(name, fleet, rng):
    """Runs one fault and returns when it is over."""
    (_faults | _added_faults)[name](fleet, rng)


def _choose_gateway(rng):
    return f"gateway-{rng.randint(1, 3)}"


def _choose_control(rng):
    return f"control-{rng.randint(1, 3)}"


def _is_running(fleet, name):
    return fleet.processes[name].poll() is None


def _kill_and_restart(fleet, name, down_s, between=None):
    """Kills a host and restarts it; faults on one host run one after another."""
    with fleet.host_locks[name]:
        fleet.stop(name)
        if between is not None:
            between()
        time.sleep(down_s)
        fleet.restart(name)


def _pause(fleet, name, for_s):
    with fleet.host_locks[name]:
        process = fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(for_s)
        process.send_signal(signal.SIGCONT)


@register_fault
def kill_gateway(fleet, rng):
    """A gateway is killed and restarted after 0.1 to 0.8 s."""
    _kill_and_restart(fleet, _choose_gateway(rng), rng.uniform(0.1, 0.8))


@register_fault
def stop_gateway(fleet, rng):
    """A gateway gets SIGTERM, exits and is restarted."""
    name = _choose_gateway(rng)
    with fleet.host_locks[name]:
        fleet.processes[name].send_signal(signal.SIGTERM)
        fleet.processes[name].wait(20)
        fleet.restart(name)


@register_fault
def pause_gateway(fleet, rng):
    """A gateway is suspended; a long pause outlasts its lease."""
    _pause(fleet, _choose_gateway(rng), rng.uniform(0.3, 4.0))


@register_fault
def revoke_behind_pause(fleet, rng):
    """A key is removed while a gateway is suspended; then the gateway resumes."""
    name = _choose_gateway(rng)
    with fleet.host_locks[name]:
        process = fleet.processes[name]
        process.send_signal(signal.SIGSTOP)
        with fleet.table_lock:
            fleet.revoke(rng.choice(["office", "spare"]))
        time.sleep(6.0)
        process.send_signal(signal.SIGCONT)


@register_fault
def reload_hosts(fleet, rng):
    """A gateway and a log host get SIGHUP and reload their settings."""
    for name in (_choose_gateway(rng), _choose_control(rng)):
        if _is_running(fleet, name):
            fleet.processes[name].send_signal(signal.SIGHUP)


@register_fault
def kill_control(fleet, rng):
    """A log host is killed and restarted with its disk intact."""
    with LOSS_LOCK:
        name = _choose_control(rng)
        _kill_and_restart(fleet, name, rng.uniform(0.1, 1.5))
        time.sleep(CATCH_UP_S)


@register_fault
def tear_control(fleet, rng):
    """A log host is killed in the middle of a write to its log."""
    with LOSS_LOCK:
        name = _choose_control(rng)
        _kill_and_restart(
            fleet, name, rng.uniform(0.1, 0.5), lambda: fleet.append_torn_record(name)
        )
        time.sleep(CATCH_UP_S)


@register_fault
def wipe_control(fleet, rng):
    """A log host is killed and restarted with an empty disk."""
    with LOSS_LOCK:
        name = _choose_control(rng)
        with fleet.host_locks[name]:
            fleet.wipe(name)
            time.sleep(rng.uniform(0.1, 0.8))
            fleet.restart(name)
        time.sleep(CATCH_UP_S)


@register_fault
def pause_control(fleet, rng):
    """A log host is suspended."""
    with LOSS_LOCK:
        _pause(fleet, _choose_control(rng), rng.uniform(0.3, 3.0))


@register_fault
def kill_all_controls(fleet, rng):
    """All log hosts are killed at once; their disks are kept."""
    with LOSS_LOCK:
        names = [f"control-{number}" for number in (1, 2, 3)]
        for name in names:
            fleet.stop(name)
        time.sleep(rng.uniform(0.1, 0.8))
        for name in names:
            fleet.restart(name)
        time.sleep(CATCH_UP_S)


def _disturb_proxy(fleet, rng, mode, for_s):
    proxy = rng.choice(fleet.servers).proxy
    proxy.mode = mode
    time.sleep(for_s)
    proxy.mode = "pass"


@register_fault
def delay_server(fleet, rng):
    """Every chunk to and from a server is delayed."""
    _disturb_proxy(fleet, rng, "delay", rng.uniform(0.5, 3.0))


@register_fault
def silence_server(fleet, rng):
    """Connections to a server carry no data but are not closed."""
    _disturb_proxy(fleet, rng, "silence", rng.uniform(0.5, 3.0))


@register_fault
def cut_answers(fleet, rng):
    """A server receives requests, but its answers are held back."""
    _disturb_proxy(fleet, rng, "one_way", rng.uniform(0.5, 2.0))


@register_fault
def reset_server(fleet, rng):
    """Connections to a server are reset when data passes over them."""
    _disturb_proxy(fleet, rng, "reset", rng.uniform(0.2, 1.5))


@register_fault
def crash_server(fleet, rng):
    """A backend server crashes and restarts under the same name."""
    server = rng.choice(fleet.servers)
    if not server.has_left:
        server.loop.call_soon_threadsafe(server.crash)
        time.sleep(1.0)


@register_fault
def break_streams(fleet, rng):
    """A server cuts streams in the middle of an event."""
    server = rng.choice(fleet.servers)
    server.break_at_event = rng.randint(2, 15)
    time.sleep(rng.uniform(0.5, 2.0))
    server.break_at_event = 0


@register_fault
def refuse_work(fleet, rng):
    """A server refuses all requests as not run."""
    server = rng.choice(fleet.servers)
    server.refuses = True
    time.sleep(rng.uniform(0.3, 2.0))
    server.refuses = False


@register_added_fault
def ask_for_time(fleet, rng):
    """A server refuses all requests and wants none for a while."""
    server = rng.choice(fleet.servers)
    server.retry_after_s = round(rng.uniform(0.5, 2.0), 2)
    server.refuses = True
    time.sleep(rng.uniform(0.3, 2.0))
    server.refuses, server.retry_after_s = False, 0.0


@register_added_fault
def say_leaving(fleet, rng):
    """A server says in its answers that it leaves, and announces nothing."""
    with fleet.departure_lock:
        staying = [server for server in fleet.servers if not server.is_gone]
        if len(staying) > 3:
            rng.choice(staying).says_leaving = True


@register_fault
def leave_service(fleet, rng):
    """A server announces its departure; at least three servers remain."""
    with fleet.departure_lock:
        staying = [server for server in fleet.servers if not server.is_gone]
        if len(staying) > 3:
            fleet.send_departure(staying[rng.randrange(len(staying))])


@register_fault
def change_tables(fleet, rng):
    """The route table changes one to four times in quick succession."""
    for _ in range(rng.randint(1, 4)):
        with fleet.table_lock:
            fleet.change_table()


@register_fault
def revoke_key(fleet, rng):
    """The key of an organisation is removed."""
    holder = rng.choice(["office", "spare"])
    with fleet.table_lock:
        fleet.revoke(holder)


@register_fault
def put_zone_out(fleet, rng):
    """An availability zone is taken out of service and restored after 4 to 7 s."""
    with fleet.zone_lock:
        zone = rng.choice(processes.ZONES)
        fleet.put_zone_out(zone)
        time.sleep(rng.uniform(4.0, 7.0))
        fleet.restore_zone(zone)
