package figdeck.daemon.command.serving

import figdeck.command.dispatch.DispatchPolicy
import figdeck.command.serving.observeScan
import figdeck.command.serving.putMember
import figdeck.control.Control
import figdeck.control.serving.initialServing
import figdeck.control.serving.onFleet
import figdeck.control.serving.onOwnSlots
import figdeck.control.serving.onPools
import figdeck.daemon.command.OwnSlots
import figdeck.daemon.command.SlotDispatcher
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.FleetMember
import figdeck.model.serving.FleetScan
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.model.serving.SlotAnswer
import figdeck.model.serving.SlotAsk
import figdeck.model.systemClock
import figdeck.process.eventually
import figdeck.wire.serving.SlotRelease
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val pool = PoolName("checks")
private val centre = DataCentre("centre-a")

private fun member(name: String, cores: Double) = FleetMember(
    host = HostId(name),
    address = Address("127.0.0.1", 1),
    dataCentre = centre,
    incarnation = name,
    joinedAt = 0,
    renewedAt = 10_000,
    cores = cores,
)

private fun upstream(id: String, isLeaving: Boolean) = PoolMember(
    Upstream(UpstreamId(id), Address("127.0.0.1", 2), centre, UpstreamKind.SERVICE, 6, honoursFencing = false),
    pool,
    isLeaving,
)

/** A host whose slots are given out by another one, which answers each question with the next of the given upstreams. */
private class HoldingHost(grants: List<String>) : AutoCloseable {
    private val answers = ArrayDeque(grants)
    private val control = Control(initialServing(member("host-1", 0.1)), systemClock)
    private val scope = CoroutineScope(Dispatchers.Default)
    private val own = OwnSlots(
        now = { control.snapshot.slots },
        decide = { decision -> control.run { state, now -> onOwnSlots(state) { decision(it, now) } } },
    )
    private val owner = SlotOwner(SlotDispatcher(own, DispatchPolicy(), Random(1)), control, systemClock) { _, _ -> }
    private val peers = FleetPeers(
        acquire = { _, ask ->
            asked += ask
            SlotAnswer.Granted(UpstreamId(answers.removeFirst()))
        },
        release = { _, release -> released.add(release) },
        confirm = { _, _ -> true },
        revoke = { _, _ -> true },
        take = { _, _ -> null },
        view = { null },
    )
    val asked = CopyOnWriteArrayList<SlotAsk>()
    val released = CopyOnWriteArrayList<SlotRelease>()
    val slots = PoolSlots(control, systemClock, owner, SlotOwnerCalls(control, peers), scope)

    suspend fun prepare() {
        val scan = FleetScan(listOf(member("host-2", 2.0)), 10_000, systemClock())
        control.run { state, _ -> onFleet(state) { observeScan(it, scan) } }
        listOf(upstream("ready-1", false), upstream("leaving-1", true), upstream("leaving-2", true)).forEach { member ->
            control.run { state, _ -> onPools(state) { putMember(it, member) } }
        }
    }

    override fun close() {
        scope.cancel()
        control.close()
    }
}

private fun ask(ticket: Long) = SlotAsk(
    ticket = ticket,
    from = HostId("host-1"),
    pool = pool,
    team = null,
    lane = Lane.ONLINE,
    cost = 1,
    affinity = null,
    without = emptySet(),
    patience = 100.milliseconds,
    age = Duration.ZERO,
)

class PoolSlotsSpec : DescribeSpec({
    describe("an owner that doesn't know which upstreams are leaving") {
        it("gets their slots back, and is asked for others") {
            HoldingHost(listOf("leaving-1", "leaving-2", "ready-1")).use { host ->
                host.prepare()
                val permit = host.slots.acquire(ask(7)).getOrNull()
                permit?.upstream?.id shouldBe UpstreamId("ready-1")
                host.asked.map { it.without.size } shouldContainExactly listOf(0, 1, 2)
                eventually(5.seconds) { host.released.size == 2 }
                host.released.map { it.ticket }.toSet() shouldBe setOf(7L, 8L)
            }
        }
        it("is asked four times and no more") {
            HoldingHost(List(8) { "unknown-$it" }).use { host ->
                host.prepare()
                host.slots.acquire(ask(7)).getOrNull().shouldBeNull()
                host.asked.size shouldBe 4
            }
        }
    }
})
