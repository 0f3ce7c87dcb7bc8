"""Fleets of real gateways among stand-ins, rolled by real controllers: what the tests of rolling changes share."""
import json, os, random, shutil, signal, socket, subprocess, sys, tempfile, time

PROGRAM, SEED = os.path.abspath(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 1
MANY = 3
chance = random.Random(SEED)
started = []


def check(holds, what):
    if not holds:
        raise SystemExit(f"rollout: seed {SEED}: {what}")


def stand_in(*words):
    one = subprocess.Popen([PROGRAM, "stand-in", *words], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    started.append(one)
    return one.stdout.readline().split()[-1]


class Links:
    """Relays with faults: `ways` is what each link's far end is reached by, in the order they were asked for."""

    def __init__(self, place, name, ends, script):
        faults = f"{place}/{name}.toml"
        with open(faults, "w") as out:
            out.write(script)
        self.process = subprocess.Popen(
            [PROGRAM, "stand-in", "links", *(w for one in ends for w in ("--link", one)), "--faults", faults, "--on-signal"],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
        started.append(self.process)
        self.ways = [self.process.stdout.readline().split()[-1] for _ in ends]
        check(self.process.stdout.readline() == "ready\n", f"{name}: the links do not come up")

    def begin(self):
        os.kill(self.process.pid, signal.SIGUSR1)

    def next(self):
        return self.process.stdout.readline().strip()


# Not the address that calls go out from: a port between two processes of a gateway could go to one of them.
HERE = "127.0.0.2"


given = set()


def free_port():
    """None twice: it is held by nobody until a program listens there."""
    while True:
        with socket.socket() as holder:
            holder.bind((HERE, 0))
            port = holder.getsockname()[1]
        if port not in given:
            given.add(port)
            return port


class Fleet:
    """One fleet of its own in a folder of its own, in front of the same stand-ins."""

    def __init__(self, place, neighbours, new_program=PROGRAM, longest="20s", new_burst=60.0, new_neighbours=None,
                 judge="past = 6\nharm = 1.0\ntolerance = 0.2", least_time="1s", asked_at=None):
        """`asked_at`: by the ports of the gateways, where the controller reaches each."""
        self.place = place
        os.makedirs(place)
        self.ports = [free_port() for _ in range(MANY)]
        text = 'name = "test"\nfolder = "state"\n[old]\nprogram = "%s"\noperator = "op.toml"\n' % PROGRAM
        text += '[new]\nprogram = "%s"\noperator = "op.toml"\n' % new_program
        text += f'[stages]\nfirst = 1\nparts = ["1"]\nleast_time = "{least_time}"\nlongest = "{longest}"\nleast_tries = 20\nsettle = "0s"\n'
        text += f'[limits]\nready_within = "2s"\nend_within = "2s"\n[judge]\n{judge}\n'
        ways = asked_at(self.ports) if asked_at else []
        for n, port in enumerate(self.ports):
            for name, burst, near in (("old", 60.0, neighbours), ("new", new_burst, new_neighbours or neighbours)):
                with open(f"{place}/{name}-{n}.json", "w") as out:
                    json.dump(configuration(n, port, near, burst), out, indent=1)
            text += f'[[gateway]]\nname = "g{n}"\nconfiguration = "old-{n}.json"\nnew_configuration = "new-{n}.json"\n'
            text += f'address = "{ways[n]}"\n' if ways else ""
        with open(place + "/op.toml", "w") as out:
            out.write('log.format = "json"\nlog.counts_every = "200ms"\n')
        with open(place + "/fleet.toml", "w") as out:
            out.write(text)

    def rollout(self, *words):
        # Through a pipe, as to a supervisor: a limit on the controller's files is none on what it says.
        with open(self.place + "/controller.log", "a") as log:
            ear = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=log)
        one = subprocess.Popen([PROGRAM, "rollout", *words, self.place + "/fleet.toml"], stdout=ear.stdin, stderr=ear.stdin)
        ear.stdin.close()
        started.append(one)
        one.ear = ear
        return one

    def said(self):
        with open(self.place + "/controller.log") as log:
            return log.read()

    def identity(self, n):
        try:
            with open(f"{self.place}/state/g{n}.identity") as told:
                return json.loads(told.read().split(" ", 2)[2])
        except (OSError, IndexError, ValueError):
            return {}

    def runs(self):
        return [self.identity(n).get("label") if alive(self.identity(n).get("pid", 0)) else None for n in range(MANY)]

    def phase(self):
        try:
            with open(self.place + "/state/status") as told:
                return json.loads(told.read().split(" ", 2)[2])["phase"]
        except (OSError, IndexError, ValueError):
            return ""

    def status(self):
        return subprocess.run([PROGRAM, "rollout", "status", self.place + "/fleet.toml"], capture_output=True, text=True).stdout

    def starts_as(self, label):
        """By gateway, how many have told that they are ready as that version."""
        counts = []
        for n in range(MANY):
            with open(f"{self.place}/state/g{n}.log") as log:
                counts.append(sum('"gateway.ready"' in line and f'"label":"{label}"' in line for line in log))
        return counts

    def end(self):
        for n in range(MANY):
            pid = self.identity(n).get("pid", 0)
            if alive(pid):
                os.kill(pid, signal.SIGKILL)


def alive(pid):
    try:
        with open(f"/proc/{pid}/stat") as told:
            return pid > 0 and told.read().rsplit(")", 1)[1].split()[0] not in "ZX"
    except OSError:
        return False


def configuration(number, port, neighbours, burst):
    hosts, counter, discovery = neighbours
    members = [{"id": f"h{n}", "host_port": at, "locality": "a", "flavor": "s", "cell": 0, "phase": "in_service",
                "size": 1.0, "up_since_ms": 0} for n, at in enumerate(hosts)]
    return {"name": f"g{number}", "listen": f"{HERE}:{port}", "discovery": discovery, "counter": counter,
            "seed": f"{number + 1:x}", "limits": {"sockets": 128},
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": {
                "step": 2.0, "az": 0, "fleetSize": MANY, "discovery": "push", "dcs": ["a"],
                "limits": {"maxAttempts": 3, "cancel": True, "retryAfter": True, "maxRetryAfter": 2000.0,
                           "dialTimeout": 250.0, "idleClose": 15000.0},
                "specifics": {"counter": True, "countLimit": 50.0, "largest": 1},
                "contract": {"fall": 2000.0, "fallMultiple": 3.0, "coldFrom": 0.3, "warmAfter": 8000.0,
                             "askWithin": 10000.0, "stopSendingWithin": 1000.0},
                "profiles": [{"name": "check", "goalTime": 500.0, "hardLimit": 2000.0, "idempotency": "retryable",
                              "keyScope": "all", "dedupWindow": 5000.0}],
                "contracts": [{"name": "large", "rate": 20.0, "mostAtOnce": burst, "extraWorth": 0.0,
                               "overrunCost": 0.5}]}}


def ends(process, most):
    try:
        code = process.wait(most)
        if hasattr(process, "ear"):
            process.ear.wait(most)
        return code
    except subprocess.TimeoutExpired:
        return None


def until(what, most=15):
    end = time.monotonic() + most
    while not what():
        if time.monotonic() > end:
            return False
        time.sleep(0.02)
    return True


def load(fleet, seconds):
    one = subprocess.Popen([PROGRAM, "load", *(w for p in fleet.ports for w in ("--gateway", f"{HERE}:{p}")), "--plan",
                            "large:6:16", "--goal-ms", "500", "--limit-ms", "2000", "--seconds", str(seconds)],
                           stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    started.append(one)
    return one


def script(place, name, text):
    with open(f"{place}/{name}", "w") as out:
        out.write("#!/bin/sh\n" + text + "\n")
    os.chmod(f"{place}/{name}", 0o755)
    return f"{place}/{name}"


def taken_back(fleet, process, why, most=8):
    check(ends(process, most) == 1, f"{why}: not taken back in time: {fleet.said()}{fleet.status()}")
    check(why in fleet.said(), f"{why}: its reason is not told: {fleet.said()}")
    check(fleet.runs() == ["old"] * MANY, f"{why}: {fleet.runs()}")


def three(place):
    """Two hosts, a counter, a discovery. Fleets may share hosts; behind one counter they would share quotas too."""
    hosts = [stand_in("host", "--cores", "16", "--work-ms", "5", "--warms-ms", "0") for _ in range(2)]
    return hosts, stand_in("counter"), listed(hosts)


def listed(hosts):
    return stand_in("discovery", *(w for n, at in enumerate(hosts) for w in ("--host", f"h{n}={at}")))


def run(play):
    """`play(place, fleets)`; whatever it has started is ended."""
    place, fleets = tempfile.mkdtemp(prefix="dewweir-rollout-"), []
    try:
        play(place, fleets)
    finally:
        for one in started:
            if one.poll() is None:
                one.kill()
        for one in fleets:
            one.end()
        shutil.rmtree(place, ignore_errors=True)
