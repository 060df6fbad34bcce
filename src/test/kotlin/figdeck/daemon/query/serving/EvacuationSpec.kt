package figdeck.daemon.query.serving

import figdeck.command.dispatch.SlotOutcome
import figdeck.daemon.command.serving.PeerBootstrap
import figdeck.daemon.command.serving.TestHost
import figdeck.daemon.command.serving.bootstrapFromPeers
import figdeck.daemon.command.serving.fleetMember
import figdeck.daemon.command.serving.poolMember
import figdeck.daemon.command.serving.unresponsivePeers
import figdeck.log.DecisionLog
import figdeck.model.Address
import figdeck.model.CallResult
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Refusal
import figdeck.model.Row
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolName
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.model.systemClock
import figdeck.platform.decodeEvacuationKey
import figdeck.platform.decodePlan
import figdeck.process.eventually
import figdeck.store.query.FeedReply
import figdeck.store.query.RowChange
import figdeck.store.query.TableFeed
import figdeck.store.query.TableSnapshot
import figdeck.wire.serving.SlotRelease
import figdeck.wire.serving.StoreView
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val pool = PoolName("checks")
private val old = DataCentre("centre-old")
private val new = DataCentre("centre-new")
private val lastTicket = AtomicLong()
private val planRow = Row("config", """{"Version":1}""", 3)
private val oldRow = Row("evacuate/centre-old", "{}", 4)
private val newRow = Row("evacuate/centre-new", "{}", 5)
private val ended = RowChange(oldRow.key, null)

/** The slots of each upstream of a [TestHost], and of both data centres together. */
private const val SLOTS = 6
private const val ALL_SLOTS = 2 * SLOTS

private fun request(lane: Lane = Lane.ONLINE, maxWait: Duration = 300.milliseconds) = SlotRequest(
    ticket = lastTicket.addAndGet(10),
    from = HostId("host-1"),
    pool = pool,
    team = null,
    lane = lane,
    cost = 1,
    affinity = null,
    excluded = emptySet(),
    maxWait = maxWait,
)

private fun evacuationFollower(host: TestHost, onBegun: suspend (Set<DataCentre>) -> Unit = { host.withdraw(it) }) =
    EvacuationFollower(host.control, ::decodeEvacuationKey, DecisionLog("test"), onBegun)

private suspend fun TestHost.withdraw(centres: Set<DataCentre>) = dispatcher.withdraw { it.dataCentre in centres }

private fun planTable(host: TestHost): TableFollower =
    evacuationFollower(host).follower.followedBy(planFollower(host.control, ::decodePlan, DecisionLog("test")))

/** A follower of the plan that calls [onPlan] just before each plan is in force. */
private fun observedPlans(host: TestHost, onPlan: () -> Unit): TableFollower {
    val decode = { text: String -> decodePlan(text).also { onPlan() } }
    return planFollower(host.control, decode, DecisionLog("test"))
}

private fun TestHost.hasReadStore(): Boolean = control.snapshot.evacuations.isFromStore

private fun TestHost.evacuated(): Set<DataCentre> = control.snapshot.evacuations.centres.keys

/** The upstreams of as many requests as both data centres have slots. All slots are returned. */
private suspend fun TestHost.usedUpstreams(requests: Int = SLOTS): Set<String> {
    val permits = List(requests) { slots.acquire(request()).getOrNull()!! }
    permits.forEach { slots.release(it, SlotOutcome.ANSWERED, 1) }
    eventually(5.seconds) { control.snapshot.slots.tickets.isEmpty() }
    return permits.map { it.upstream.id.value }.toSet()
}

/** Runs [use] with a host that knows one upstream in each of two data centres. */
private suspend fun withHost(use: suspend (TestHost) -> Unit) {
    TestHost(fleetMember("host-1")).use { host ->
        host.setView(
            emptyList(),
            listOf(poolMember(pool, "old-1", dataCentre = old), poolMember(pool, "new-1", dataCentre = new)),
        )
        use(host)
    }
}

/** A store that answers with [snapshots] and [changes] in turn, and then with nothing, unless it is away. */
private class ScriptedFeed(snapshots: List<List<Row>>, changes: List<FeedReply>) {
    @Volatile
    var isAway = false
    private val snapshotsLeft = ArrayDeque(snapshots)
    private val changesLeft = ArrayDeque(changes)
    val feed = TableFeed(
        snapshot = { _, _ -> CallResult.Done(TableSnapshot(snapshotsLeft.removeFirst(), 5, 0)) },
        page = { _, _, _ -> CallResult.NotDone("no pages") },
        changes = { _, _, _ ->
            if (isAway) CallResult.NotDone("503") else CallResult.Done(nextChanges())
        },
    )

    private suspend fun nextChanges(): FeedReply = changesLeft.removeFirstOrNull() ?: awaitCancellation()
}

private suspend fun followScript(host: TestHost, script: ScriptedFeed, use: suspend () -> Unit) {
    val loop = CoroutineScope(Dispatchers.Default).launch {
        script.feed.follow("op", Random(1), { Duration.ZERO }, planTable(host))
    }
    use()
    loop.cancelAndJoin()
}

class EvacuationSpec : DescribeSpec({
    describe("an evacuation that is written and later removed") {
        // Guards against requests that reach a data centre while it is evacuated, or never again.
        it("keeps requests from the data centre until its end") {
            withHost { host ->
                val table = planTable(host)
                table.replace(listOf(planRow))
                host.usedUpstreams(ALL_SLOTS) shouldBe setOf("old-1", "new-1")
                table.change(listOf(RowChange(oldRow.key, oldRow)))
                host.usedUpstreams() shouldBe setOf("new-1")
                table.change(listOf(ended))
                host.usedUpstreams(ALL_SLOTS) shouldBe setOf("old-1", "new-1")
            }
        }

        // Guards against an upstream that registers during the evacuation and gets requests.
        it("applies to upstreams that start meanwhile") {
            withHost { host ->
                planTable(host).replace(listOf(oldRow, planRow))
                host.setView(emptyList(), listOf(poolMember(pool, "old-2", dataCentre = old)))
                host.usedUpstreams() shouldBe setOf("new-1")
            }
        }
    }

    describe("a snapshot of the table") {
        // Guards against an evacuation whose end fell into a gap of the history.
        it("replaces the set") {
            withHost { host ->
                val table = planTable(host)
                table.replace(listOf(planRow, oldRow))
                table.replace(listOf(planRow, newRow))
                host.evacuated() shouldBe setOf(new)
                host.usedUpstreams() shouldBe setOf("old-1")
            }
        }

        // Guards against a host that serves after its start before it knows the evacuations.
        it("has its evacuations in force before its plan, whatever the order of the rows") {
            listOf(listOf(planRow, oldRow), listOf(oldRow, planRow)).forEach { rows ->
                withHost { host ->
                    var evacuatedAtPlan = emptySet<DataCentre>()
                    val plans = observedPlans(host) { evacuatedAtPlan = host.evacuated() }
                    evacuationFollower(host).follower.followedBy(plans).replace(rows)
                    evacuatedAtPlan shouldBe setOf(old)
                }
            }
        }

        it("leaves out keys that name no data centre, with the others in force") {
            withHost { host ->
                val odd = listOf("evacuate/", "evacuate/a b", "evacuate/a/b", "other/centre-new")
                val table = planTable(host)
                table.replace(listOf(oldRow, planRow) + odd.map { Row(it, "{}", 6) })
                table.change(odd.flatMap { listOf(RowChange(it, Row(it, "{}", 7)), RowChange(it, null)) })
                host.evacuated() shouldBe setOf(old)
                (host.control.snapshot.index != null) shouldBe true
            }
        }
    }

    describe("a host that follows the store") {
        // Guards against an evacuation that stays in force because its end is no longer in the store's history.
        it("sees an end whose history is lost") {
            withHost { host ->
                val lost = listOf(FeedReply.HistoryLost)
                followScript(host, ScriptedFeed(listOf(listOf(planRow, oldRow), listOf(planRow)), lost)) {
                    eventually(5.seconds) { host.hasReadStore() && host.evacuated().isEmpty() }
                }
            }
        }

        // Guards against a host that forgets an evacuation, or keeps it for ever, because the store was away.
        it("keeps an evacuation while the store is away, and sees the end that was written meanwhile") {
            withHost { host ->
                val changes = listOf(FeedReply.Changes(listOf(ended), 6))
                val script = ScriptedFeed(listOf(listOf(planRow, oldRow)), changes).apply { isAway = true }
                followScript(host, script) {
                    eventually(5.seconds) { host.evacuated() == setOf(old) }
                    delay(500.milliseconds)
                    host.usedUpstreams() shouldBe setOf("new-1")
                    script.isAway = false
                    eventually(5.seconds) { host.evacuated().isEmpty() }
                }
            }
        }
    }

    describe("a host that starts while the store is away") {
        val view = StoreView(listOf(planRow, oldRow), emptyList(), emptyList(), storeMillis = null)

        // Guards against a host that learns the plan from a peer, becomes ready and sends to an evacuated data centre.
        it("learns the evacuations from a peer, before the plan") {
            withHost { host ->
                var evacuatedAtPlan = emptySet<DataCentre>()
                val plans = observedPlans(host) { evacuatedAtPlan = host.evacuated() }
                val evacuations = evacuationFollower(host)
                val peers = unresponsivePeers.copy(view = { view })
                val seeds = listOf(Address("127.0.0.1", 1))
                host.control.bootstrapFromPeers(
                    peers,
                    PeerBootstrap(seeds, evacuations::adoptFromPeer, plans) { null },
                    systemClock,
                )
                evacuatedAtPlan shouldBe setOf(old)
                host.usedUpstreams() shouldBe setOf("new-1")
                evacuations.follower.replace(listOf(planRow))
                host.evacuated() shouldBe emptySet()
            }
        }

        // Guards against an evacuation that comes back for ever from a peer that read the store earlier.
        it("ignores a peer once it has read the store itself") {
            withHost { host ->
                val evacuations = evacuationFollower(host)
                evacuations.follower.replace(listOf(planRow))
                evacuations.adoptFromPeer(view.plans)
                host.evacuated() shouldBe emptySet()
            }
        }
    }

    describe("a pool whose data centres are all evacuated") {
        // Guards against callers that wait, or get a reason that is not true, while no upstream may run their requests.
        it("refuses online requests at once, and serves again after the end") {
            withHost { host ->
                val table = planTable(host)
                table.replace(listOf(planRow, oldRow, newRow))
                val startedAt = systemClock()
                host.slots.acquire(request(maxWait = 5.seconds)).leftOrNull() shouldBe Refusal.Evacuated("this route")
                (systemClock() - startedAt < 1.seconds) shouldBe true
                table.change(listOf(ended))
                host.usedUpstreams() shouldBe setOf("old-1")
            }
        }

        it("does so too where another host grants the slots, without asking it") {
            val asked = CopyOnWriteArrayList<SlotRequest>()
            val peers = unresponsivePeers.copy(
                acquire = { _, request ->
                    asked += request
                    null
                },
            )
            TestHost(fleetMember("host-1", cores = 0.1), peers).use { host ->
                host.setView(listOf(fleetMember("host-2")), listOf(poolMember(pool, "old-1", dataCentre = old)))
                planTable(host).replace(listOf(planRow, oldRow))
                host.slots.acquire(request()).leftOrNull() shouldBe Refusal.Evacuated("this route")
                asked.size shouldBe 0
            }
        }

        it("refuses requests that already wait for a slot") {
            withHost { host ->
                val table = planTable(host)
                table.replace(listOf(planRow))
                repeat(ALL_SLOTS) { host.slots.acquire(request()).isRight() shouldBe true }
                val scope = CoroutineScope(Dispatchers.Default)
                val waiting = scope.async { host.slots.acquire(request(maxWait = 20.seconds)) }
                eventually(5.seconds) { host.control.snapshot.slots.tickets.size == ALL_SLOTS + 1 }
                table.change(listOf(RowChange(oldRow.key, oldRow), RowChange(newRow.key, newRow)))
                withTimeout(5.seconds) { waiting.await() }.leftOrNull() shouldBe Refusal.Evacuated("this route")
            }
        }
    }

    describe("a request that waits for a slot in a data centre when it is evacuated") {
        // Guards against a queue that still fills the slots of an evacuated data centre as they become free.
        it("gets a slot elsewhere, whichever slot becomes free first") {
            withHost { host ->
                val table = planTable(host)
                table.replace(listOf(planRow))
                val held = List(ALL_SLOTS) { host.slots.acquire(request()).getOrNull()!! }
                val scope = CoroutineScope(Dispatchers.Default)
                val waiting = List(4) { scope.async { host.slots.acquire(request(maxWait = 20.seconds)) } }
                eventually(5.seconds) { host.control.snapshot.slots.tickets.size == ALL_SLOTS + waiting.size }
                table.change(listOf(RowChange(oldRow.key, oldRow)))
                host.control.snapshot.slots.upstreams.getValue(UpstreamId("old-1")).online.waiting.size shouldBe 0
                held.sortedByDescending { it.upstream.dataCentre == old }
                    .forEach { host.slots.release(it, SlotOutcome.ANSWERED, 1) }
                waiting.map { it.await().getOrNull()?.upstream?.id?.value }.toSet() shouldBe setOf("new-1")
            }
        }

        // Guards against a request that is queued with upstreams that it was given just before the evacuation.
        it("gets one elsewhere if it is queued only after the queues were moved") {
            withHost { host ->
                val held = List(ALL_SLOTS) { host.slots.acquire(request()).getOrNull()!! }
                val scope = CoroutineScope(Dispatchers.Default)
                val waiting = List(4) { scope.async { host.owner.acquire(request(maxWait = 20.seconds)) } }
                eventually(5.seconds) { host.control.snapshot.slots.tickets.size == ALL_SLOTS + waiting.size }
                evacuationFollower(host, onBegun = {}).follower.replace(listOf(oldRow))
                held.sortedByDescending { it.upstream.dataCentre == old }
                    .forEach { host.slots.release(it, SlotOutcome.ANSWERED, 1) }
                waiting.map { it.await() }.toSet() shouldBe setOf(SlotResponse.Granted(UpstreamId("new-1")))
            }
        }
    }

    describe("an owner of slots that does not know of an evacuation yet") {
        // Guards against sends to an evacuated data centre because another host has read the store later.
        it("gets the slot back unused, and is asked for another one outside of the data centre") {
            val grants = ArrayDeque(listOf("old-1", "new-1"))
            val asked = CopyOnWriteArrayList<SlotRequest>()
            val released = CopyOnWriteArrayList<SlotRelease>()
            val peers = unresponsivePeers.copy(
                acquire = { _, request ->
                    asked += request
                    SlotResponse.Granted(UpstreamId(grants.removeFirst()))
                },
                release = { _, release -> released.add(release) },
            )
            TestHost(fleetMember("host-1", cores = 0.1), peers).use { host ->
                val members = (1..5).map { poolMember(pool, "old-$it", dataCentre = old) }
                host.setView(listOf(fleetMember("host-2")), members + poolMember(pool, "new-1", dataCentre = new))
                planTable(host).replace(listOf(planRow, oldRow))
                host.slots.acquire(request()).getOrNull()?.upstream?.id shouldBe UpstreamId("new-1")
                asked.size shouldBe 2
                asked.last().excluded shouldContainAll members.map { it.upstream.id }
                eventually(5.seconds) { released.map { it.ticket } == listOf(asked.first().ticket) }
                released.single().outcome shouldBe SlotOutcome.ABANDONED
            }
        }
    }
})
