"""A deregistration that a restarted control VM acknowledges has no effect, and a late heartbeat lists the server again."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import fleet as lib

SERVERS = 4
# The server serves for this long after its deregistration was acknowledged: drain_s and a little longer.
SERVES_S = 7.0


def case(record, is_troubled):
    fleet = lib.Fleet(record, controls=3, entries=3)
    try:
        fleet.put(lib.configuration(1, [lib.route("r-read", "/read/", "forecast"),
                                        lib.route("r-order", "/order/", "forecast", kind="unsafe")], ["forecast"]))
        for n in range(SERVERS):
            fleet.add_server("forecast", n + 1)
        fleet.wait_served("/read/start")
        time.sleep(2)
        return run(fleet, record, is_troubled)
    finally:
        fleet.stop()


def run(fleet, record, is_troubled):
    leaver = fleet.servers[0]
    run_id = leaver.id
    # The next heartbeat of the server is sent when it is due, and is under way for some seconds.
    leaver.beats = False
    time.sleep(lib.HEARTBEAT_S)
    leaver.sequence += 1
    late = {"service": leaver.service, "address": f"{leaver.address[0]}:{leaver.address[1]}", "zone": leaver.zone,
            "version": "v1", "slots": leaver.slots, "state": "ready", "warmup_left_s": 0,
            "sequence": leaver.sequence, "born": leaver.born}
    record(f"server {run_id}: heartbeat sequence={leaver.sequence} sent, under way")
    time.sleep(0.9)
    names = [name for name in fleet.processes if name.startswith("core-")]
    if is_troubled:
        for name in names:
            fleet.kill(name)
        for name in names:
            fleet.processes[name].wait()
    time.sleep(0.1)
    # The heartbeat has had no answer for a second, so the next nodes are called.
    heartbeat(fleet, record, run_id, late)
    time.sleep(0.2)
    if is_troubled:
        for n in range(len(names)):
            fleet.start_control(n)
    restarted = record.now()
    acked = deregister(fleet, record, run_id)
    stop = threading.Event()
    sent = []
    lock = threading.Lock()

    def clients(n):
        while not stop.is_set():
            for path, method, body in [("/order/x", "POST", b"order"), ("/read/x", "GET", b"")]:
                at = record.now()
                status, _, _ = fleet.request(n, path, method, body, deadline_ms=3000)
                with lock:
                    sent.append((at, status))
            time.sleep(0.05)

    threads = [threading.Thread(target=clients, args=(n,), daemon=True) for n in range(len(fleet.entry_ips))]
    for thread in threads:
        thread.start()
    # Two seconds after the acknowledgement the heartbeat arrives.
    time.sleep(max(0.0, acked + 2.2 - record.now()))
    status, _ = lib.call(fleet.control_addresses()[1], "POST", f"/v1/instances/{run_id}/heartbeat", late)
    record(f"late heartbeat of {run_id} sequence={late['sequence']} arrives: {status}")
    time.sleep(max(0.0, acked + SERVES_S - record.now()))
    leaver.crash()
    record(f"server {run_id} exits")
    time.sleep(1.0)
    stop.set()
    for thread in threads:
        thread.join()
    # All machines are in touch from stability_window_s after the restart on; half a second more is a margin.
    begin = max(acked + fleet.bounds["drain_s"], restarted + fleet.bounds["stability_window_s"] + 0.5)
    broken = [run for run in fleet.runs if run[1] == run_id and run[0] > begin]
    record(f"requests that reached {run_id} later than {begin:.3f}: {len(broken)}")
    print(f"acknowledged at {acked:.2f} s; requests that reached the server after {begin:.2f} s: {len(broken)}")
    served = [status for at, status in sent if at > begin and status == 200]
    if not served:
        raise lib.CannotRun("no request was served")
    return not broken


def heartbeat(fleet, record, run_id, beat):
    """Sends a heartbeat to one node after the other until it is acknowledged."""
    for address in fleet.control_addresses():
        try:
            status, _ = lib.call(address, "POST", f"/v1/instances/{run_id}/heartbeat", beat)
        except (OSError, ConnectionError, ValueError) as e:
            record(f"server {run_id}: heartbeat at {address[0]}: {e}")
            continue
        record(f"server {run_id}: heartbeat at {address[0]}: {status}")
        if status // 100 == 2:
            return


def deregister(fleet, record, run_id):
    """Sends the deregistration until a node acknowledges it; returns when."""
    end = time.monotonic() + 10
    while time.monotonic() < end:
        for address in fleet.control_addresses():
            try:
                status, _ = lib.call(address, "POST", f"/v1/instances/{run_id}/deregister")
            except (OSError, ConnectionError, ValueError) as e:
                record(f"server {run_id}: deregister at {address[0]}: {e}")
                continue
            record(f"server {run_id}: deregister at {address[0]}: {status}")
            if status // 100 == 2:
                return record.now()
        time.sleep(0.1)
    raise lib.CannotRun("the deregistration was not acknowledged")


if __name__ == "__main__":
    lib.main(case, __file__)
