"""What the soak does to the deployment: a registry, and schedules drawn by seed.

A fault takes the world and its own source of chance, and lasts until it returns. At
most one log host is lost for good measure at a time (``LOSS_LOCK``), as promised to
be borne; all of them may be killed at once, with their disks.
"""

import dataclasses
import signal
import threading
import time

from support import processes

DURATION_S = 8.0
FAULTS_MIN, FAULTS_MAX = 5, 9
CATCH_UP_S = 4.0
"""A log host counts as lost for so long after it is back; see docs/promises.md."""

LOSS_LOCK = threading.Lock()
_faults = {}


def register_fault(run):
    """Registers a fault under its function's name."""
    _faults[run.__name__] = run
    return run


@dataclasses.dataclass(frozen=True)
class Planned:
    """One fault of a schedule, ``at_s`` after the callers began."""

    at_s: float
    name: str
    seed: int


def plan(source):
    """Draws a schedule; its faults may overlap."""
    count = source.randint(FAULTS_MIN, FAULTS_MAX)
    drawn = [
        Planned(
            round(source.uniform(0.0, DURATION_S), 2),
            source.choice(sorted(_faults)),
            source.randrange(1 << 30),
        )
        for _ in range(count)
    ]
    return sorted(drawn, key=lambda item: item.at_s)


def run_fault(name, world, source):
    """Runs one fault to its end."""
    _faults[name](world, source)


def _choose_gateway(source):
    return f"gateway-{source.randint(1, 3)}"


def _choose_control(source):
    return f"control-{source.randint(1, 3)}"


def _is_running(world, name):
    return world.processes[name].poll() is None


def _kill_and_restart(world, name, down_s, between=None):
    """Kills a host and starts it again; faults of one host come one by one."""
    with world.host_locks[name]:
        world.stop(name)
        if between is not None:
            between()
        time.sleep(down_s)
        world.restart(name)


def _pause(world, name, for_s):
    with world.host_locks[name]:
        process = world.processes[name]
        process.send_signal(signal.SIGSTOP)
        time.sleep(for_s)
        process.send_signal(signal.SIGCONT)


@register_fault
def kill_gateway(world, source):
    """A gateway dies and is back after some tenths of a second."""
    _kill_and_restart(world, _choose_gateway(source), source.uniform(0.1, 0.8))


@register_fault
def stop_gateway(world, source):
    """A gateway is told to stop, and starts again."""
    name = _choose_gateway(source)
    with world.host_locks[name]:
        world.processes[name].send_signal(signal.SIGTERM)
        world.processes[name].wait(20)
        world.restart(name)


@register_fault
def pause_gateway(world, source):
    """A gateway stands still; its lease runs out if it is for long."""
    _pause(world, _choose_gateway(source), source.uniform(0.3, 4.0))


@register_fault
def revoke_behind_pause(world, source):
    """A key is removed while a gateway stands still; then it goes on."""
    name = _choose_gateway(source)
    with world.host_locks[name]:
        process = world.processes[name]
        process.send_signal(signal.SIGSTOP)
        with world.table_lock:
            world.revoke(source.choice(["office", "spare"]))
        time.sleep(6.0)
        process.send_signal(signal.SIGCONT)


@register_fault
def reload_hosts(world, source):
    """Hosts are told that their settings changed."""
    for name in (_choose_gateway(source), _choose_control(source)):
        if _is_running(world, name):
            world.processes[name].send_signal(signal.SIGHUP)


@register_fault
def kill_control(world, source):
    """A log host dies and is back with its disk."""
    with LOSS_LOCK:
        name = _choose_control(source)
        _kill_and_restart(world, name, source.uniform(0.1, 1.5))
        time.sleep(CATCH_UP_S)


@register_fault
def tear_control(world, source):
    """A log host dies in the middle of a write."""
    with LOSS_LOCK:
        name = _choose_control(source)
        _kill_and_restart(
            world, name, source.uniform(0.1, 0.5), lambda: world.tear_journal(name)
        )
        time.sleep(CATCH_UP_S)


@register_fault
def wipe_control(world, source):
    """A log host loses its disk."""
    with LOSS_LOCK:
        name = _choose_control(source)
        with world.host_locks[name]:
            world.wipe(name)
            time.sleep(source.uniform(0.1, 0.8))
            world.restart(name)
        time.sleep(CATCH_UP_S)


@register_fault
def pause_control(world, source):
    """A log host stands still."""
    with LOSS_LOCK:
        _pause(world, _choose_control(source), source.uniform(0.3, 3.0))


@register_fault
def kill_all_controls(world, source):
    """All log hosts die at once; their disks stay."""
    with LOSS_LOCK:
        names = [f"control-{number}" for number in (1, 2, 3)]
        for name in names:
            world.stop(name)
        time.sleep(source.uniform(0.1, 0.8))
        for name in names:
            world.restart(name)
        time.sleep(CATCH_UP_S)


def _harm_proxy(world, source, mode, for_s):
    proxy = source.choice(world.servers).proxy
    proxy.mode = mode
    time.sleep(for_s)
    proxy.mode = "pass"


@register_fault
def delay_server(world, source):
    """Each chunk to and from a server takes longer."""
    _harm_proxy(world, source, "delay", source.uniform(0.5, 3.0))


@register_fault
def silence_server(world, source):
    """Connections to a server go silent without being closed."""
    _harm_proxy(world, source, "silence", source.uniform(0.5, 3.0))


@register_fault
def cut_answers(world, source):
    """A server gets requests, and its answers vanish."""
    _harm_proxy(world, source, "one_way", source.uniform(0.5, 2.0))


@register_fault
def reset_server(world, source):
    """Connections to a server are reset as they are used."""
    _harm_proxy(world, source, "reset", source.uniform(0.2, 1.5))


@register_fault
def crash_server(world, source):
    """A backend server dies and is back under its name."""
    server = source.choice(world.servers)
    if not server.is_gone:
        server.loop.call_soon_threadsafe(server.crash)
        time.sleep(1.0)


@register_fault
def break_streams(world, source):
    """A server breaks streams off in the middle of an event."""
    server = source.choice(world.servers)
    server.break_at_event = source.randint(2, 15)
    time.sleep(source.uniform(0.5, 2.0))
    server.break_at_event = 0


@register_fault
def refuse_work(world, source):
    """A server says that it runs nothing."""
    server = source.choice(world.servers)
    server.refuses = True
    time.sleep(source.uniform(0.3, 2.0))
    server.refuses = False


@register_fault
def leave_service(world, source):
    """A server says farewell and gets nothing more; others stay."""
    staying = [server for server in world.servers if not server.is_gone]
    if len(staying) > 3:
        world.leave(staying[source.randrange(len(staying))])


@register_fault
def change_tables(world, source):
    """The route table changes some times in quick succession."""
    for _ in range(source.randint(1, 4)):
        with world.table_lock:
            world.change_table()


@register_fault
def revoke_key(world, source):
    """An organisation loses its key."""
    holder = source.choice(["office", "spare"])
    with world.table_lock:
        world.revoke(holder)


@register_fault
def put_zone_out(world, source):
    """A zone is taken out and, some seconds later, back."""
    with world.zone_lock:
        zone = source.choice(processes.ZONES)
        world.put_zone_out(zone)
        time.sleep(source.uniform(4.0, 7.0))
        world.take_zone_back(zone)
