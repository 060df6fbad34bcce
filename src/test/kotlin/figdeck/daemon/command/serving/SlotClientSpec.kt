package figdeck.daemon.command.serving

import figdeck.command.dispatch.SlotOutcome
import figdeck.command.dispatch.occupiedSlots
import figdeck.command.serving.ColdSource
import figdeck.control.serving.adoptPlan
import figdeck.log.DecisionLog
import figdeck.model.Address
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.UpstreamId
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.HeldSlot
import figdeck.model.serving.PoolName
import figdeck.model.serving.ReportedLimit
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import figdeck.process.eventually
import figdeck.wire.serving.SlotRelease
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.matchers.types.shouldBeSameInstanceAs
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val pool = PoolName("checks")

/** A host with more cores, which owns the pool and answers each request with the next of [grants]. */
private class GrantingOwner(grants: List<String>) {
    private val answers = ArrayDeque(grants)
    val asked = CopyOnWriteArrayList<SlotRequest>()
    val released = CopyOnWriteArrayList<SlotRelease>()
    val peers = unresponsivePeers.copy(
        acquire = { _, request ->
            asked += request
            SlotResponse.Granted(UpstreamId(answers.removeFirst()))
        },
        release = { _, release -> released.add(release) },
    )
}

private fun slotRequest(ticket: Long) = SlotRequest(
    ticket = ticket,
    from = HostId("host-1"),
    pool = pool,
    team = null,
    lane = Lane.ONLINE,
    cost = 1,
    affinity = null,
    excluded = emptySet(),
    maxWait = 100.milliseconds,
)

private suspend fun acquireSlot(owner: GrantingOwner): UpstreamId? =
    TestHost(fleetMember("host-1", cores = 0.1), owner.peers).use { host ->
        host.setView(
            listOf(fleetMember("host-2", cores = 2.0)),
            listOf(
                poolMember(pool, "ready-1"),
                poolMember(pool, "leaving-1", isLeaving = true),
                poolMember(pool, "leaving-2", isLeaving = true),
            ),
        )
        host.slots.acquire(slotRequest(7)).getOrNull()?.upstream?.id.also {
            val returned = owner.asked.size - if (it == null) 0 else 1
            eventually(5.seconds) { owner.released.size == returned }
        }
    }

class SlotClientSpec : DescribeSpec({
    describe("an upstream that has said that it is leaving") {
        it("gets no more requests, and the owner of its slots is told") {
            val owner = GrantingOwner(listOf("ready-1", "ready-1", "ready-2"))
            TestHost(fleetMember("host-1", cores = 0.1), owner.peers).use { host ->
                val upstreams = listOf("ready-1", "ready-2").map { poolMember(pool, it) }
                host.setView(listOf(fleetMember("host-2", cores = 2.0)), upstreams)
                val permit = host.slots.acquire(slotRequest(1)).getOrNull().shouldNotBeNull()
                permit.upstream.id shouldBe UpstreamId("ready-1")
                host.slots.recordLeaving(permit.start, "request", DecisionLog("serve"))
                host.slots.acquire(slotRequest(2)).getOrNull()?.upstream?.id shouldBe UpstreamId("ready-2")
                eventually(5.seconds) { owner.released.size == 1 }
                owner.released.single().isLeaving shouldBe true
            }
        }

        // Guards against a later start that gets no requests because of an earlier one under its id.
        it("gets requests again once it has started again, although its last answers come later") {
            val owner = GrantingOwner(listOf("i-1", "i-1"))
            TestHost(fleetMember("host-1", cores = 0.1), owner.peers).use { host ->
                val earlier = poolMember(pool, "i-1").startedAt(1)
                host.setView(listOf(fleetMember("host-2", cores = 2.0)), listOf(earlier))
                val permit = host.slots.acquire(slotRequest(1)).getOrNull().shouldNotBeNull()
                host.setView(emptyList(), listOf(earlier.startedAt(2)))
                host.slots.recordLeaving(permit.start, "request", DecisionLog("serve"))
                host.slots.acquire(slotRequest(2)).getOrNull()?.start shouldBe UpstreamStart(UpstreamId("i-1"), 2)
                host.slots.release(permit, SlotOutcome.ANSWERED, 1)
                eventually(5.seconds) { owner.released.size == 1 }
                owner.released.single().isLeaving shouldBe true
                owner.released.single().startedAtMillis shouldBe 1
            }
        }

        // Guards against an owner that takes the announcement of one start for that of another.
        listOf(null to false, 1L to true, 2L to false).forEach { (listed, isLeaving) ->
            it("is leaving at an owner that lists its start as $listed and is told of start 1: $isLeaving") {
                TestHost(fleetMember("host-1")).use { host ->
                    val known = poolMember(pool, "i-1").startedAt(1)
                    host.setView(listOf(fleetMember("host-1")), listOf(known))
                    host.owner.acquire(slotRequest(1)) shouldBe SlotResponse.Granted(UpstreamId("i-1"))
                    host.setView(emptyList(), listOf(known.startedAt(listed)))
                    host.owner.release(
                        SlotRelease(1, SlotOutcome.ANSWERED, 1, isLeaving = true, startedAtMillis = 1),
                    )
                    host.control.snapshot.pools.members.values.single().isLeaving shouldBe isLeaving
                }
            }
        }

        it("is leaving at an owner that is told so by a host of an earlier version") {
            TestHost(fleetMember("host-1")).use { host ->
                host.setView(listOf(fleetMember("host-1")), listOf(poolMember(pool, "i-1").startedAt(1)))
                host.owner.acquire(slotRequest(1)) shouldBe SlotResponse.Granted(UpstreamId("i-1"))
                host.owner.release(SlotRelease(1, SlotOutcome.ANSWERED, 1, isLeaving = true))
                host.control.snapshot.pools.members.values.single().isLeaving shouldBe true
            }
        }

        // Guards against a sound start that is unused while hosts are upgraded: earlier versions name no start.
        listOf(
            SlotRelease(1, SlotOutcome.ANSWERED, 1, isLeaving = true),
            SlotRelease(1, SlotOutcome.GONE, 1),
            SlotRelease(1, SlotOutcome.ANSWERED, 1, coldRemaining = 60.seconds),
        ).forEach { told ->
            it("is in use if it has started again since a host of an earlier version got its slot: $told") {
                TestHost(fleetMember("host-1")).use { host ->
                    val earlier = poolMember(pool, "i-1").startedAt(1).copy(coldRemaining = Duration.ZERO)
                    host.setView(listOf(fleetMember("host-1")), listOf(earlier))
                    host.owner.acquire(slotRequest(1)) shouldBe SlotResponse.Granted(UpstreamId("i-1"))
                    host.setView(emptyList(), listOf(earlier.startedAt(2)))
                    host.owner.release(told)
                    val pools = host.control.snapshot.pools
                    pools.members.values.map { it.isLeaving } shouldBe listOf(false)
                    pools.cold.keys shouldBe emptySet()
                }
            }
        }
    }

    // Guards against a later start that is dropped because another upstream answers at the address of an earlier one.
    describe("an upstream at whose address another one has answered") {
        listOf(1L to emptySet(), 2L to setOf("i-1")).forEach { (listed, kept) ->
            it("is dropped only if it has not started again: start $listed after start 1") {
                TestHost(fleetMember("host-1")).use { host ->
                    val earlier = poolMember(pool, "i-1").startedAt(1)
                    host.setView(listOf(fleetMember("host-1")), listOf(earlier))
                    host.owner.acquire(slotRequest(1)) shouldBe SlotResponse.Granted(UpstreamId("i-1"))
                    host.setView(emptyList(), listOf(earlier.startedAt(listed)))
                    host.owner.release(SlotRelease(1, SlotOutcome.GONE, 1, startedAtMillis = 1))
                    host.control.snapshot.pools.members.keys.map { it.value }.toSet() shouldBe kept
                }
            }
        }
    }

    // Guards against an owner that can't tell of which start it is told, and against a field in each of many releases.
    describe("the release of a slot") {
        listOf(SlotOutcome.ANSWERED to null, SlotOutcome.GONE to 1L).forEach { (outcome, told) ->
            it("tells the start of the upstream as $told if the slot ends as $outcome") {
                val owner = GrantingOwner(listOf("i-1"))
                TestHost(fleetMember("host-1", cores = 0.1), owner.peers).use { host ->
                    val upstreams = listOf(poolMember(pool, "i-1").startedAt(1))
                    host.setView(listOf(fleetMember("host-2", cores = 2.0)), upstreams)
                    val permit = host.slots.acquire(slotRequest(1)).getOrNull().shouldNotBeNull()
                    host.slots.release(permit, outcome, 1)
                    eventually(5.seconds) { owner.released.size == 1 }
                    owner.released.single().startedAtMillis shouldBe told
                }
            }
        }
    }

    // Guards against an owner that grants a cold upstream's slots at full rate because it doesn't see its answers.
    describe("an upstream that has said how long it stays cold") {
        it("is known as cold, and the owner of its slots is told") {
            val owner = GrantingOwner(listOf("ready-1"))
            TestHost(fleetMember("host-1", cores = 0.1), owner.peers).use { host ->
                host.setView(listOf(fleetMember("host-2", cores = 2.0)), listOf(poolMember(pool, "ready-1")))
                val permit = host.slots.acquire(slotRequest(1)).getOrNull().shouldNotBeNull()
                host.slots.recordColdReply(permit.start, 60.seconds)
                host.control.snapshot.pools.cold.keys shouldBe setOf(permit.upstream.id)
                host.slots.release(permit, SlotOutcome.ANSWERED, 1)
                eventually(5.seconds) { owner.released.size == 1 }
                (owner.released.single().coldRemaining.shouldNotBeNull() in 50.seconds..60.seconds) shouldBe true
            }
        }

        // Guards against a limit on a later start for what an earlier one has said, at the holder and at the owner.
        it("is not known as cold if it has started again since") {
            val owner = GrantingOwner(listOf("i-1"))
            TestHost(fleetMember("host-1", cores = 0.1), owner.peers).use { host ->
                val earlier = poolMember(pool, "i-1").startedAt(1).copy(coldRemaining = Duration.ZERO)
                host.setView(listOf(fleetMember("host-2", cores = 2.0)), listOf(earlier))
                val permit = host.slots.acquire(slotRequest(1)).getOrNull().shouldNotBeNull()
                host.setView(emptyList(), listOf(earlier.startedAt(2)))
                host.slots.recordColdReply(permit.start, 60.seconds)
                host.control.snapshot.pools.cold.keys shouldBe emptySet()
            }
            TestHost(fleetMember("host-1")).use { host ->
                val earlier = poolMember(pool, "i-1").startedAt(1)
                host.setView(listOf(fleetMember("host-1")), listOf(earlier))
                host.owner.acquire(slotRequest(1)) shouldBe SlotResponse.Granted(UpstreamId("i-1"))
                host.setView(emptyList(), listOf(earlier.startedAt(2)))
                val told = SlotRelease(1, SlotOutcome.ANSWERED, 1, startedAtMillis = 1, coldRemaining = 60.seconds)
                host.owner.release(told)
                host.control.snapshot.pools.cold.keys shouldBe emptySet()
            }
        }

        // Guards against a command for each answer of warm upstreams, which say 0, and of those known as cold.
        it("changes nothing with an answer that tells nothing new") {
            TestHost(fleetMember("host-1")).use { host ->
                val member = poolMember(pool, "ready-1")
                host.setView(listOf(fleetMember("host-1")), listOf(member))
                val warm = host.control.snapshot
                host.slots.recordColdReply(member.start, Duration.ZERO)
                host.control.snapshot shouldBeSameInstanceAs warm
                host.slots.recordColdReply(member.start, 60.seconds)
                val cold = host.control.snapshot
                host.slots.recordColdReply(member.start, 40.seconds)
                host.control.snapshot shouldBeSameInstanceAs cold
            }
        }

        it("changes nothing in a pool without cold starts") {
            TestHost(fleetMember("host-1")).use { host ->
                val plan = servingPlan { pool(pool.value) { } }.getOrNull().shouldNotBeNull()
                host.control.run { state, _ -> adoptPlan(state, plan) }
                host.setView(listOf(fleetMember("host-1")), listOf(poolMember(pool, "ready-1")))
                val before = host.control.snapshot
                host.slots.recordColdReply(poolMember(pool, "ready-1").start, 60.seconds)
                host.control.snapshot shouldBeSameInstanceAs before
            }
        }

        it("is known as cold by an owner that is told") {
            TestHost(fleetMember("host-1")).use { host ->
                host.setView(listOf(fleetMember("host-1")), listOf(poolMember(pool, "ready-1")))
                host.owner.acquire(slotRequest(1)) shouldBe SlotResponse.Granted(UpstreamId("ready-1"))
                host.owner.release(SlotRelease(1, SlotOutcome.ANSWERED, 1, coldRemaining = 60.seconds))
                host.control.snapshot.pools.cold.values.map { it.source } shouldBe listOf(ColdSource.RELEASE)
            }
        }

        // Guards against a slot that is lost for good because the holder disconnects during its release.
        it("gets its slot back from a release that is cancelled") {
            TestHost(fleetMember("host-1")).use { host ->
                host.setView(listOf(fleetMember("host-1")), listOf(poolMember(pool, "ready-1")))
                host.owner.acquire(slotRequest(1)) shouldBe SlotResponse.Granted(UpstreamId("ready-1"))
                coroutineScope {
                    launch {
                        cancel()
                        host.owner.release(SlotRelease(1, SlotOutcome.ANSWERED, 1, coldRemaining = 60.seconds))
                    }
                }
                host.control.snapshot.slots.upstreams.values.single().occupiedSlots shouldBe 0
                host.control.snapshot.pools.cold.keys shouldBe setOf(UpstreamId("ready-1"))
            }
        }
    }

    // Guards against an owner that reads of a cold upstream and grants its slots as before.
    describe("an owner of a pool whose upstream is cold") {
        it("grants no slot before there is a token") {
            TestHost(fleetMember("host-1")).use { host ->
                val plan = servingPlan {
                    pool(pool.value) {
                        coldSeconds = 60.0
                        coldRequestsPerSecond = 0.01
                    }
                }.getOrNull().shouldNotBeNull()
                host.control.run { state, _ -> adoptPlan(state, plan) }
                host.setView(listOf(fleetMember("host-1")), listOf(poolMember(pool, "ready-1")))
                host.slots.recordColdReply(poolMember(pool, "ready-1").start, 60.seconds)
                host.owner.acquire(slotRequest(1)).shouldBeInstanceOf<SlotResponse.Full>()
                host.control.snapshot.slots.heldBack shouldBe 1
            }
        }
    }

    // Guards against an owner that grants an upstream's slots beyond its limit because it doesn't see its answers.
    describe("an upstream that has advertised a limit") {
        val rate = AdvertisedRate.Limited(0.01)

        it("is limited, and the owner of its slots is told with the release") {
            val owner = GrantingOwner(listOf("i-1"))
            TestHost(fleetMember("host-1", cores = 0.1), owner.peers).use { host ->
                host.setView(listOf(fleetMember("host-2", cores = 2.0)), listOf(poolMember(pool, "i-1").startedAt(1)))
                val permit = host.slots.acquire(slotRequest(1)).getOrNull().shouldNotBeNull()
                host.control.recordAdvertisedRate(permit.start, rate, systemClock(), systemClock())
                host.slots.release(permit, SlotOutcome.ANSWERED, 1)
                eventually(5.seconds) { owner.released.size == 1 }
                owner.released.single().limit?.rate shouldBe rate
                owner.released.single().startedAtMillis shouldBe 1
            }
        }

        it("is limited at an owner that is told with a release or with held slots") {
            val told = ReportedLimit(rate, 100.milliseconds)
            val start = UpstreamStart(UpstreamId("i-1"), 1)
            listOf<suspend TestHost.() -> Unit>(
                { owner.release(SlotRelease(1, SlotOutcome.ANSWERED, 1, startedAtMillis = 1, limit = told)) },
                {
                    val held = HeldSlot(slotRequest(1), UpstreamId("i-1"))
                    owner.confirm(HostId("host-1"), listOf(held), mapOf(start to told))
                },
            ).forEach { tell ->
                TestHost(fleetMember("host-1")).use { host ->
                    host.setView(listOf(fleetMember("host-1")), listOf(poolMember(pool, "i-1").startedAt(1)))
                    host.owner.acquire(slotRequest(1)) shouldBe SlotResponse.Granted(UpstreamId("i-1"))
                    host.tell()
                    host.owner.acquire(slotRequest(2)).shouldBeInstanceOf<SlotResponse.Full>()
                    host.control.snapshot.slots.heldBackByRate shouldBe 1
                }
            }
        }

        // Guards against a member without the main part of the rate that is asked before the one that has it.
        it("has its slots granted by the settled owner, even if a member that has just joined ranks first") {
            val asked = CopyOnWriteArrayList<Address>()
            val peers = unresponsivePeers.copy(acquire = { owner, _ ->
                asked += owner
                SlotResponse.Granted(UpstreamId("i-1"))
            })
            val settled = fleetMember("settled", cores = 2.0).copy(address = Address("127.0.0.1", 11))
            val joined = (1..20).map {
                fleetMember("joined-$it", cores = 2.0).copy(joinedAtMillis = 9_900, address = Address("127.0.0.1", 12))
            }
            TestHost(fleetMember("host-1", cores = 0.1), peers).use { host ->
                host.setView(joined + settled, listOf(poolMember(pool, "i-1")))
                host.slots.acquire(slotRequest(1))
                host.control.recordAdvertisedRate(poolMember(pool, "i-1").start, rate, systemClock(), systemClock())
                host.slots.acquire(slotRequest(2))
                asked.map { it.port } shouldContainExactly listOf(12, 11)
            }
        }
    }

    // Guards against a slot that stays held by nobody for seconds, and turns requests away from its upstream.
    describe("a list of held slots that arrives after the release of one of them") {
        it("does not bring that slot back") {
            TestHost(fleetMember("host-1")).use { host ->
                host.setView(listOf(fleetMember("host-1")), listOf(poolMember(pool, "ready-1")))
                host.owner.acquire(slotRequest(1)) shouldBe SlotResponse.Granted(UpstreamId("ready-1"))
                host.owner.release(SlotRelease(1, SlotOutcome.ANSWERED, 1))
                host.owner.confirm(HostId("host-1"), listOf(HeldSlot(slotRequest(1), UpstreamId("ready-1"))))
                host.control.snapshot.slots.tickets.keys shouldBe emptySet()
            }
        }

        it("brings back a slot that an earlier owner granted") {
            TestHost(fleetMember("host-1")).use { host ->
                host.setView(listOf(fleetMember("host-1")), listOf(poolMember(pool, "ready-1")))
                host.owner.confirm(HostId("host-1"), listOf(HeldSlot(slotRequest(2), UpstreamId("ready-1"))))
                host.control.snapshot.slots.tickets.keys shouldBe setOf(2L)
            }
        }
    }

    describe("an owner that does not know which upstreams are leaving") {
        it("gets slots at leaving upstreams back and is asked for others") {
            val owner = GrantingOwner(listOf("leaving-1", "leaving-2", "ready-1"))
            acquireSlot(owner) shouldBe UpstreamId("ready-1")
            owner.asked.map { it.excluded.size } shouldContainExactly listOf(0, 1, 2)
            owner.released.map { it.ticket }.toSet() shouldBe setOf(7L, 8L)
        }
        it("is asked exactly four times before the request is refused") {
            val owner = GrantingOwner(List(8) { "unknown-$it" })
            acquireSlot(owner).shouldBeNull()
            owner.asked.size shouldBe 4
        }
    }
})
