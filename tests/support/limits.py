"""Share holders and granters over a network that can lose, duplicate and delay."""

from lycheegauge.internal.coordination import limits, limitshares
from lycheegauge.internal.protocol import intents, work

LIMITED = intents.Organisation("org", 1.0, 20.0, 12)


class Network:
    def __init__(self, holders=9, organisations=(LIMITED,), hosts=("home-0",)):
        self.now = 100.0
        self.organisations = organisations
        self.hosts = hosts
        self.holders = [limits.ShareHolder(f"entry-{n}/1") for n in range(holders)]
        for holder in self.holders:
            holder.set_limits(organisations)
        self.granters = {}
        for host in hosts:
            self.start_granter(host, self.now - 100.0)
        self.messages = []
        self.sent = 0
        self.running = [0] * holders
        self.admitted = 0
        self.waiting = []

    def start_granter(self, host, started_at=None):
        started_at = self.now if started_at is None else started_at
        granter = limitshares.ShareGranter(host, started_at)
        granter.set_hosts(self.hosts, started_at - limits.LEASE_S * 2)
        granter.set_limits(self.organisations)
        self.granters[host] = granter

    def set_hosts(self, hosts):
        self.hosts = hosts
        for host in hosts:
            if host not in self.granters:
                self.start_granter(host)
        for granter in self.granters.values():
            granter.set_hosts(hosts, self.now)

    def arrive(self, index, organisation="org"):
        request = work.Request("r", organisation, "drafting", b"", "", 9.0)
        if self.holders[index].awaits_share(organisation, self.now):
            self.waiting.append((index, organisation))
            return
        outcome = self.holders[index].admit(request, self.now)
        if outcome.value_or(False) is None:
            self.running[index] += 1
            self.admitted += 1

    def end(self, index, organisation="org"):
        if self.running[index]:
            self.running[index] -= 1
            self.holders[index].note_ended(organisation, self.now)

    def ask(self, index):
        for addressed in self.holders[index].make_requests(self.hosts, self.now):
            self.messages.append((addressed.home, index, addressed.request))
            self.sent += 1

    def deliver(self, position, keep=False):
        if not self.messages:
            return
        position %= len(self.messages)
        home, index, message = self.messages[position]
        if not keep:
            del self.messages[position]
        if home is None:
            self.holders[index].apply_grant(message, self.now)
            waiting, self.waiting = self.waiting, []
            for waiting_index, organisation in waiting:
                self.arrive(waiting_index, organisation)
            return
        granter = self.granters.get(home)
        grant = granter.handle_request(message, self.now) if granter else None
        if grant is not None:
            self.messages.append((None, index, grant))
            self.sent += 1

    def exchange(self, index):
        """Sends a holder's requests and delivers all messages."""
        self.ask(index)
        while self.messages:
            self.deliver(0)

    def get_shares(self, organisation="org"):
        held = [item.get_shares(organisation, self.now) for item in self.holders]
        return sum(rate for rate, _ in held), sum(number for _, number in held)
