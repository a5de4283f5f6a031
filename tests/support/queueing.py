"""A reference implementation of the fair queue that scans all requests."""


class NaiveQueue:
    def __init__(self, length, weights):
        self.length = length
        self.weights = weights
        self.waiting = []
        self.starts = {}
        self.time = 0.0

    def add(self, request):
        """Returns the id of the displaced or refused request, if any."""
        name = request.organisation
        leaving = None
        if len(self.waiting) >= self.length:
            parts = {name: 1.0 / self.weights[name]}
            for item in self.waiting:
                other = item.organisation
                parts[other] = parts.get(other, 0.0) + 1.0 / self.weights[other]
            furthest = max(parts, key=lambda item: (parts[item], item == name))
            if furthest == name:
                return request.request_id
            own = [item for item in self.waiting if item.organisation == furthest]
            leaving = sorted(own, key=self.rank)[-1]
            self.waiting.remove(leaving)
        if not any(item.organisation == name for item in self.waiting):
            self.starts[name] = max(self.starts.get(name, 0.0), self.time)
        self.waiting.append(request)
        return leaving.request_id if leaving else None

    def rank(self, request):
        order = self.waiting.index(request)
        return -request.priority, request.deadline_s, order

    def dequeue(self):
        if not self.waiting:
            self.time = max([self.time, *self.starts.values()])
            return None
        names = {item.organisation for item in self.waiting}
        name = min(names, key=lambda item: (self.starts[item], item))
        own = [item for item in self.waiting if item.organisation == name]
        first = min(own, key=self.rank)
        self.waiting.remove(first)
        self.time = self.starts[name]
        self.starts[name] += 1.0 / self.weights[name]
        return first

    def remove(self, request_id):
        kept = [item for item in self.waiting if item.request_id != request_id]
        removed = len(kept) < len(self.waiting)
        self.waiting = kept
        return removed
