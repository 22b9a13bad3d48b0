"""Simulation of instances, a store and a network around the ownership core.

The simulation has its own real time. The clocks of the instances and the store differ
from it in offset and rate.
"""

import heapq
import itertools
import random
from collections import defaultdict, deque

from pistachiolift.common import platform_instance_id
from pistachiolift.ownership import (
    BeginAuthority,
    DirectorySeen,
    DrainCompleted,
    DrainStarted,
    EndAuthority,
    HandOver,
    HandOverReceived,
    InstanceLeaseGone,
    InstancesLeaving,
    InstancesSeen,
    LeaseLost,
    LeaseRenewalFailed,
    LeaseRenewed,
    ListInstances,
    OwnershipCore,
    OwnershipTimings,
    PartitionRecord,
    PartitionRecovered,
    PartitionsConfigured,
    PromiseReceived,
    PromiseRequested,
    ReadRecord,
    RecordSeen,
    RecordWriteFailed,
    RecordWriteSucceeded,
    RefusePromise,
    RequestPromise,
    SendPromise,
    StartRecovery,
    StoreContact,
    Tick,
    WriteFailure,
    WriteRecord,
)

LEASE_TTL_S = 3.0
RPC_TIMEOUT_S = 0.5
SAMPLE_S = 0.05
LONGEST_DELAY_S = 5.0
# Wall clocks are synchronised to tens of milliseconds.
WALL_CLOCK_ERROR_S = 0.1


class ViolationError(AssertionError):
    """The invariant of a single effective owner is violated."""


class SimulatedStore:
    """Compare-and-swap, leases on the store's own clock, and watches."""

    def __init__(self, world, rate):
        self.world = world
        self.rate = rate
        self.up = True
        self.leases_tick_in_outage = True
        self.clock_s = 0.0
        self.revision = 1
        self.records = {}
        self.leases = {}
        self.keys = {}
        self.writes = 0
        self.next_lease = itertools.count(1)

    def advance(self, interval_s):
        if self.up or self.leases_tick_in_outage:
            self.clock_s += interval_s * self.rate
        if self.up:
            for lease_id, (node_id, end_s) in list(self.leases.items()):
                if self.clock_s >= end_s:
                    self.drop_lease(lease_id, node_id)

    def drop_lease(self, lease_id, node_id):
        del self.leases[lease_id]
        if self.keys.get(node_id, (None, None))[1] == lease_id:
            del self.keys[node_id]
            self.revision += 1
            gone = InstanceLeaseGone(instance_id=node_id, version=self.revision)
            self.world.notify(gone)

    def grant(self, node_id):
        lease_id = next(self.next_lease)
        self.leases[lease_id] = (node_id, self.clock_s + LEASE_TTL_S)
        return lease_id

    def keep_alive(self, lease_id):
        if lease_id not in self.leases:
            return False
        node_id, _ = self.leases[lease_id]
        self.leases[lease_id] = (node_id, self.clock_s + LEASE_TTL_S)
        return True

    def revoke(self, lease_id):
        if lease_id in self.leases:
            self.drop_lease(lease_id, self.leases[lease_id][0])

    def put_key(self, node_id, data_centre, lease_id):
        if lease_id not in self.leases or node_id in self.keys:
            return None
        self.revision += 1
        self.keys[node_id] = (data_centre, lease_id)
        self.world.notify(self.instances())
        return self.revision

    def put_record(self, partition_id, record, expected_version):
        self.writes += 1
        old, version = self.records.get(partition_id, (None, 0))
        if version != expected_version:
            return None
        if old is not None and record != old and record.epoch <= old.epoch:
            raise ViolationError(f"{record} replaces {old} without a higher epoch")
        self.revision += 1
        stored = PartitionRecord.from_bytes(record.to_bytes())
        self.records[partition_id] = (stored, self.revision)
        self.world.notify(self.record(partition_id))
        return self.revision

    def record(self, partition_id):
        record, version = self.records.get(partition_id, (None, 0))
        return RecordSeen(partition_id=partition_id, record=record, version=version)

    def instances(self, asked_at_s=None):
        return InstancesSeen(
            data_centres_by_instance={i: dc for i, (dc, _) in self.keys.items()},
            version=self.revision,
            asked_at_s=asked_at_s,
        )


class SimulatedDirectory:
    """The platform's directory; keeps its earlier states, so answers can lag."""

    def __init__(self, world):
        self.world = world
        self.up = True
        self.states = [(-1.0, frozenset())]

    def add(self, instance_id):
        self.states.append((self.world.now_s, self.states[-1][1] | {instance_id}))

    def remove(self, instance_id):
        self.states.append((self.world.now_s, self.states[-1][1] - {instance_id}))

    def listed(self, lag_s):
        """Return the listed instances as of ``lag_s`` ago."""
        at_s = max(self.world.now_s - lag_s, -1.0)
        return next(ids for since_s, ids in reversed(self.states) if since_s <= at_s)


class SimulatedNode:
    """One instance: the core and a minimal stand-in for the home process."""

    def __init__(self, world, node_id, data_centre, *, offset_s, rate):
        self.world = world
        self.id = node_id
        self.data_centre = data_centre
        self.offset_s = offset_s
        self.rate = rate
        self.core = world.core_class(node_id, data_centre, timings=world.timings)
        self.alive = True
        self.paused = False
        self.isolated = False
        self.draining = False
        self.backlog = deque()
        self.lease_id = None
        self.key_version = None
        self.granting = False
        self.renewing = True
        self.watch_connected = False
        self.watch_free_s = {RecordSeen: 0.0, InstancesSeen: 0.0}
        self.lose_answers = 0
        self.delay_writes_s = []
        self.directory_lag_s = 0.0

    def now_s(self):
        return self.offset_s + self.rate * self.world.now_s

    # Input is queued while the process is paused and handled when it resumes.

    def run(self, function, *args):
        if not self.alive:
            return
        if self.paused:
            self.backlog.append((function, args))
        else:
            function(*args)

    def resume(self):
        self.paused = False
        while self.backlog and self.alive and not self.paused:
            function, args = self.backlog.popleft()
            function(*args)

    def every(self, interval_s, function):
        def repeat():
            if self.alive:
                # After a pause, a process handles only one of the missed timer calls.
                if not self.paused or not any(
                    each == function for each, _ in self.backlog
                ):
                    self.run(function)
                self.world.after(interval_s / self.rate, repeat)

        repeat()

    def start(self):
        self.deliver(
            PartitionsConfigured(data_centres_by_partition=self.world.partitions)
        )
        self.every(1.0, self.renew)
        self.every(1.0, self.watch)
        self.every(0.1, self.tick)
        self.every(0.5, self.poll_directory)

    def poll_directory(self):
        directory = self.world.directory
        if not directory.up:
            return
        for event in (
            InstancesLeaving(instance_ids=frozenset(self.world.leaving)),
            DirectorySeen(
                entry_ids=directory.listed(self.directory_lag_s), at_s=self.now_s()
            ),
        ):
            delay_s = self.world.random.uniform(0.0, 0.4)
            self.world.after(delay_s, self.run, self.deliver, event)

    def tick(self):
        self.deliver(Tick())

    def deliver(self, event):
        now_s = self.now_s()
        actions = self.core.on_event(event, now_s)
        for action in actions:
            self.act(action)
        if isinstance(event, HandOverReceived):
            self.record_handover(event)
        self.world.sample(self)

    def record_handover(self, event):
        """Record which commands the new owner knows from the handed-over state."""
        state = self.core.partitions[event.partition_id]
        if state.owner == self.id and state.version == event.version:
            self.world.statistics["handed over"] += 1
            key = (event.partition_id, event.from_id)
            self.world.known[event.partition_id, self.id] = self.world.sent_state[key]

    # The store

    def call(self, operation, on_answer, on_failure=None, *, delay_s=None):
        """Call the store; either its answer or the failure is handled, once."""
        sent_s = self.now_s()
        done = []

        def finish(handler, *args):
            if not done:
                done.append(True)
                handler(*args)

        def answered(result):
            self.deliver(StoreContact(at_s=sent_s))
            on_answer(result)

        def execute():
            if not self.world.store.up:
                return
            result = operation()
            delay = self.world.delay_s()
            if delay is not None and not self.isolated:
                self.world.after(delay, self.run, finish, answered, result)

        # A request that was sent before the isolation may still arrive.
        delay = self.world.delay_s() if delay_s is None else delay_s
        if delay is not None and not self.isolated:
            self.world.after(delay, execute)
        timeout_s = RPC_TIMEOUT_S / self.rate
        self.world.after(timeout_s, self.run, finish, on_failure or (lambda: None))

    def renew(self):
        if not self.renewing:
            return
        sent_s = self.now_s()
        store = self.world.store
        if self.lease_id is None:
            if not self.granting:
                self.granting = True
                self.call(
                    lambda: store.grant(self.id),
                    lambda lease_id: self.put_key(lease_id, sent_s),
                    self.grant_failed,
                )
            return
        lease_id, key_version = self.lease_id, self.key_version

        def answered(found):
            if found:
                self.renewed(lease_id, key_version, sent_s)
            else:
                if self.lease_id == lease_id:
                    self.lease_id = None
                self.deliver(LeaseLost(lease_id=lease_id))
                self.renew()

        self.call(
            lambda: store.keep_alive(lease_id),
            answered,
            lambda: self.deliver(LeaseRenewalFailed()),
        )

    def grant_failed(self):
        self.granting = False

    def put_key(self, lease_id, sent_s):
        def answered(version):
            self.granting = False
            if version is not None:
                self.lease_id, self.key_version = lease_id, version
                self.renewed(lease_id, version, sent_s)

        self.call(
            lambda: self.world.store.put_key(self.id, self.data_centre, lease_id),
            answered,
            self.grant_failed,
        )

    def renewed(self, lease_id, key_version, sent_s):
        self.deliver(
            LeaseRenewed(
                lease_id=lease_id,
                key_version=key_version,
                sent_at_s=sent_s,
                ttl_s=LEASE_TTL_S,
            )
        )

    def watch(self):
        """List everything and continue with a watch, unless one is connected."""
        if self.watch_connected:
            return
        store = self.world.store

        def connect():
            self.watch_connected = True
            self.push(store.instances())
            for partition_id in self.world.partitions:
                self.push(store.record(partition_id))

        self.call(connect, lambda _: None)

    def push(self, event):
        """Deliver an event of a watch, or break the connection.

        Records and instances are watched separately, each in order.
        """
        if not self.watch_connected:
            return
        delay = self.world.delay_s()
        if delay is None or self.isolated:
            self.watch_connected = False
            return
        watch = RecordSeen if isinstance(event, RecordSeen) else InstancesSeen
        at_s = max(self.watch_free_s[watch], self.world.now_s + delay)
        self.watch_free_s[watch] = at_s
        self.world.after(at_s - self.world.now_s, self.run, self.deliver, event)

    # Actions

    def act(self, action):
        getattr(self, f"act_{type(action).__name__}")(action)

    def act_WriteRecord(self, action: WriteRecord):
        partition_id, version = action.partition_id, action.expected_version

        def answered(new_version):
            if new_version is None:
                failed(WriteFailure.CONFLICT)
            else:
                self.deliver(
                    RecordWriteSucceeded(
                        partition_id=partition_id,
                        record=action.record,
                        version=new_version,
                    )
                )

        def failed(failure=WriteFailure.UNKNOWN):
            self.deliver(
                RecordWriteFailed(
                    partition_id=partition_id,
                    expected_version=version,
                    failure=failure,
                )
            )

        lost = self.lose_answers > 0
        self.lose_answers -= lost
        delay_s = self.delay_writes_s.pop() if self.delay_writes_s else None
        self.call(
            lambda: self.world.store.put_record(partition_id, action.record, version),
            (lambda _: failed()) if lost else answered,
            failed,
            delay_s=delay_s,
        )

    def act_ReadRecord(self, action: ReadRecord):
        store = self.world.store
        self.call(lambda: store.record(action.partition_id), self.deliver)

    def act_ListInstances(self, action: ListInstances):
        asked_at_s = self.now_s()
        self.call(lambda: self.world.store.instances(asked_at_s), self.deliver)

    def act_RequestPromise(self, action: RequestPromise):
        self.world.send(
            self.id,
            action.to_id,
            PromiseRequested(
                from_id=self.id,
                partition_id=action.partition_id,
                epoch=action.epoch,
                request_id=action.request_id,
            ),
        )

    def act_SendPromise(self, action: SendPromise):
        self.world.send(
            self.id,
            action.to_id,
            PromiseReceived(
                from_id=self.id,
                partition_id=action.partition_id,
                request_id=action.request_id,
                duration_s=action.duration_s,
            ),
        )

    def act_RefusePromise(self, action: RefusePromise):
        self.world.statistics["refused " + action.reason.value] += 1

    def act_StartRecovery(self, action: StartRecovery):
        self.world.known.pop((action.partition_id, self.id), None)
        confirmed = self.world.random.random() < 0.3
        self.world.after(0.02, self.run, self.recovered, action, confirmed)

    def recovered(self, action, confirmed):
        if confirmed:
            # All entry instances reject the commands issued so far.
            self.world.statistics["recovery confirmed"] += 1
            self.world.known[action.partition_id, self.id] = dict.fromkeys(
                self.world.last_command_s[action.partition_id], self.world.now_s
            )
        self.deliver(
            PartitionRecovered(
                partition_id=action.partition_id,
                epoch=action.epoch,
                confirmed=confirmed,
            )
        )

    def act_BeginAuthority(self, action: BeginAuthority):
        self.world.statistics["begin"] += 1

    def act_EpochChanged(self, action):
        self.world.statistics["epoch changed"] += 1

    def act_EndAuthority(self, action: EndAuthority):
        self.world.statistics["end " + action.reason.value] += 1

    def act_HandOver(self, action: HandOver):
        key = (action.partition_id, self.id)
        state = dict(self.world.known.get(key, {}))
        state[self.id] = self.world.now_s
        self.world.sent_state[key] = state
        self.world.send(
            self.id,
            action.to_id,
            HandOverReceived(
                from_id=self.id,
                partition_id=action.partition_id,
                record=action.record,
                version=action.version,
            ),
        )

    def act_DrainCompleted(self, action: DrainCompleted):
        self.world.statistics["drained"] += 1
        lease_id = self.lease_id
        self.call(lambda: self.world.store.revoke(lease_id), lambda _: None)
        self.world.after(0.2, self.world.kill, self.id)

    def drain(self):
        self.draining = True
        self.world.leaving.add(self.id)
        self.run(self.deliver, DrainStarted())


class World:
    """All instances, the store, the network and the checks.

    :param core_class: the core under test.
    :param data_centres: data centre of each instance at the start.
    :param listing_delay_s: time between the start of an instance and its listing in the
        directory, in seconds.
    """

    def __init__(
        self,
        *,
        core_class=OwnershipCore,
        timings=None,
        data_centres=("1", "2", "3", "1"),
        partitions=None,
        seed=0,
        drift=0.005,
        listing_delay_s=0.0,
    ):
        self.core_class = core_class
        self.timings = timings or OwnershipTimings()
        self.partitions = partitions or {"p1": "1"}
        self.random = random.Random(seed)
        self.drift = drift
        self.now_s = 0.0
        self.queue = []
        self.sequence = itertools.count()
        self.statistics = defaultdict(int)
        self.nodes = {}
        self.cut_links = set()
        self.leaving = set()
        self.loss = 0.0
        self.delay_share = 0.0
        self.last_command_s = defaultdict(dict)
        self.known = {}
        self.sent_state = {}
        self.store = SimulatedStore(self, self._rate())
        self.directory = SimulatedDirectory(self)
        self.listing_delay_s = listing_delay_s
        self.removal_delay_s = 0.5
        self.next_node = itertools.count(1)
        for each in data_centres:
            self.join(each)
        self.after(0.0, self._sample_all)

    def _rate(self):
        return 1.0 + self.random.uniform(-self.drift, self.drift)

    # Time

    def after(self, interval_s, function, *args):
        at_s = self.now_s + interval_s
        heapq.heappush(self.queue, (at_s, next(self.sequence), function, args))

    def advance(self, interval_s):
        end_s = self.now_s + interval_s
        while self.queue and self.queue[0][0] <= end_s:
            at_s, _, function, args = heapq.heappop(self.queue)
            self._move_to(at_s)
            function(*args)
        self._move_to(end_s)

    def _move_to(self, at_s):
        interval_s, self.now_s = at_s - self.now_s, at_s
        self.store.advance(interval_s)

    # Network

    def delay_s(self):
        """Return the delay of one message, or ``None`` if it is lost."""
        if self.random.random() < self.loss:
            return None
        if self.random.random() < self.delay_share:
            return self.random.uniform(0.0, LONGEST_DELAY_S)
        return self.random.uniform(0.002, 0.015)

    def send(self, from_id, to_id, event):
        delay = self.delay_s()
        target = self.nodes.get(to_id)
        link = frozenset((from_id, to_id))
        if delay is not None and target is not None and link not in self.cut_links:
            self.after(delay, target.run, target.deliver, event)

    def notify(self, event):
        for node in self.nodes.values():
            node.push(event)

    # Instances

    def join(self, data_centre):
        node_id = f"i{next(self.next_node)}"
        self.after(self.listing_delay_s, self._list, node_id)
        return self._start_process(node_id, data_centre)

    def _list(self, node_id):
        if any(platform_instance_id(each) == node_id for each in self.nodes):
            self.directory.add(node_id)

    def _start_process(self, node_id, data_centre):
        node = SimulatedNode(
            self,
            node_id,
            data_centre,
            offset_s=self.random.uniform(0.0, 1e5),
            rate=self._rate(),
        )
        self.nodes[node_id] = node
        self.after(self.random.uniform(0.0, 0.2), node.start)
        return node

    def kill(self, node_id):
        """Kill a process; the platform then removes its instance."""
        if self._kill_process(node_id):
            self.after(
                self.removal_delay_s,
                self.directory.remove,
                platform_instance_id(node_id),
            )

    def _kill_process(self, node_id):
        node = self.nodes.pop(node_id, None)
        if node is None:
            return False
        node.alive = False
        node.backlog.clear()
        return True

    def restart_process(self, node_id):
        """Kill a process and start another one on the same instance."""
        data_centre = self.nodes[node_id].data_centre
        self._kill_process(node_id)
        identity = f"{platform_instance_id(node_id)}~{next(self.next_node)}"
        return self._start_process(identity, data_centre)

    def restart(self, node_id):
        """Replace an instance by one with a new identity and no memory."""
        data_centre = self.nodes[node_id].data_centre
        self.kill(node_id)
        return self.join(data_centre)

    def pause(self, node_id, interval_s=None):
        node = self.nodes[node_id]
        node.paused = True
        if interval_s is not None:
            self.after(interval_s, node.resume)

    def isolate(self, node_id, isolated=True):
        self.nodes[node_id].isolated = isolated
        if isolated:
            self.nodes[node_id].watch_connected = False

    def set_store_up(self, up):
        self.store.up = up
        if not up:
            for node in self.nodes.values():
                node.watch_connected = False

    def heal(self):
        self.set_store_up(True)
        self.directory.up = True
        self.loss = self.delay_share = 0.0
        self.cut_links.clear()
        for node in list(self.nodes.values()):
            node.isolated = False
            node.lose_answers = 0
            node.directory_lag_s = 0.0
            node.delay_writes_s.clear()
            node.resume()

    # Checks

    def deciders(self, partition_id):
        return [
            node.id
            for node in self.nodes.values()
            if node.core.may_decide(partition_id, node.now_s())
        ]

    def _sample_all(self):
        for node in list(self.nodes.values()):
            self.sample(node)
        self.after(SAMPLE_S, self._sample_all)

    def sample(self, node):
        """Let a running instance issue commands for partitions under its authority."""
        if not node.alive or node.paused:
            return
        for partition_id in self.partitions:
            if node.core.may_decide(partition_id, node.now_s()):
                self.issue_command(partition_id, node)

    def issue_command(self, partition_id, node):
        others = [each for each in self.deciders(partition_id) if each != node.id]
        if others:
            raise ViolationError(
                f"{node.id} and {others} both decide about {partition_id} at "
                f"{self.now_s:.3f} s"
            )
        lifetime_s = self.timings.start_before_s + WALL_CLOCK_ERROR_S
        known = self.known.get((partition_id, node.id), {})
        commands = self.last_command_s[partition_id]
        for other, issued_s in commands.items():
            if other == node.id or issued_s <= known.get(other, -1.0):
                continue
            if self.now_s < issued_s + lifetime_s:
                raise ViolationError(
                    f"{node.id} decides about {partition_id} at {self.now_s:.3f} s; "
                    f"a command that {other} issued at {issued_s:.3f} s may start"
                )
        commands[node.id] = self.now_s
        self.statistics["commands"] += 1
