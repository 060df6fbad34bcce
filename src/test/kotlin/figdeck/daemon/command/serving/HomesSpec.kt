package figdeck.daemon.command.serving

import arrow.core.getOrElse
import figdeck.command.dispatch.SlotOutcome
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Refusal
import figdeck.model.Region
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotResponse
import figdeck.model.serving.servingPlan
import figdeck.process.eventually
import figdeck.query.serving.homesOf
import figdeck.wire.serving.SlotRelease
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val pool = PoolName("checks")
private val north = Region("north")
private val south = Region("south")
private val regions = mapOf(DataCentre("centre-n") to north, DataCentre("centre-s") to south)
private val members = listOf("n", "s", "x").map { poolMember(pool, "up-$it", dataCentre = DataCentre("centre-$it")) }
private val lastTicket = AtomicLong()

/** More requests than one upstream has slots. */
private const val REQUESTS = 18

private fun request(homes: Set<Region>?) = SlotRequest(
    ticket = lastTicket.addAndGet(10),
    from = HostId("host-1"),
    pool = pool,
    team = null,
    lane = Lane.ONLINE,
    cost = 1,
    affinity = null,
    excluded = emptySet(),
    maxWait = 50.milliseconds,
    homes = homes,
)

private fun planOf(routeHomes: List<String>, teamHomes: List<String>): ServingPlan = servingPlan {
    route("desk") {
        host = "desk.example"
        homes = routeHomes
        pool("checks")
    }
    team("walkers") { homes = teamHomes }
}.getOrElse { error(it.toString()) }

private fun homes(routeHomes: List<String>, teamHomes: List<String>): Set<Region>? =
    planOf(routeHomes, teamHomes).let { homesOf(it.routes.single(), it.teams.single()) }

/** The upstreams at which a host with regions, or without, gets slots for [REQUESTS] requests with [homes]. */
private suspend fun upstreamsFor(homes: Set<Region>?, known: Map<DataCentre, Region> = regions): Set<String> =
    TestHost(fleetMember("host-1"), regions = known).use { host ->
        host.setView(emptyList(), members)
        List(REQUESTS) { host.slots.acquire(request(homes)).getOrNull()?.upstream?.id?.value }.filterNotNull().toSet()
    }

class HomesSpec : DescribeSpec({
    // Guards against a request that leaves a region to which only its route, or only its team, is confined.
    describe("the homes of a request") {
        it("are those of its route or its team, if only one has any") {
            homes(listOf("north"), emptyList()) shouldBe setOf(north)
            homes(emptyList(), listOf("south", "north")) shouldBe setOf(south, north)
        }

        it("are those of both, if both have some") {
            homes(listOf("north", "south"), listOf("south", "east")) shouldBe setOf(south)
            homes(listOf("north"), listOf("south")) shouldBe emptySet()
        }

        it("are all regions, if neither has any, or without a team") {
            homes(emptyList(), emptyList()) shouldBe null
            homesOf(planOf(emptyList(), emptyList()).routes.single(), null) shouldBe null
            homesOf(null, null) shouldBe null
        }
    }

    describe("slots") {
        // Guards against requests that reach an upstream outside of their homes when those at home are full.
        it("are granted at home only") {
            upstreamsFor(setOf(north)) shouldBe setOf("up-n")
            upstreamsFor(setOf(north, south)) shouldBe setOf("up-n", "up-s")
        }

        it("are granted everywhere to requests without homes") {
            upstreamsFor(null) shouldBe setOf("up-n", "up-s", "up-x")
            upstreamsFor(null, known = emptyMap()) shouldBe setOf("up-n", "up-s", "up-x")
        }

        // Guards against an unknown region that is taken for a home.
        it("are not granted to requests with homes in data centres of an unknown region") {
            upstreamsFor(setOf(north), known = emptyMap()) shouldBe emptySet()
        }

        it("are not granted at all if the homes of route and team have nothing in common") {
            upstreamsFor(emptySet()) shouldBe emptySet()
        }
    }

    // Guards against callers that wait, or get a reason that is not true, when no upstream may run their requests.
    describe("a request without an upstream at home") {
        listOf(setOf(Region("east")), emptySet()).forEach { homes ->
            it("is refused without asking another host, with homes $homes") {
                val asked = CopyOnWriteArrayList<SlotRequest>()
                val peers = unresponsivePeers.copy(
                    acquire = { _, request ->
                        asked += request
                        null
                    },
                )
                TestHost(fleetMember("host-1", cores = 0.1), peers, regions).use { host ->
                    host.setView(listOf(fleetMember("host-2")), members)
                    host.slots.acquire(request(homes)).leftOrNull() shouldBe Refusal.NoHomeUpstream("this route")
                    asked.size shouldBe 0
                }
            }
        }

        it("is refused as such by the host that grants slots, if the requesting host knows no upstreams") {
            TestHost(fleetMember("host-1"), regions = regions).use { host ->
                host.setView(emptyList(), members)
                host.owner.acquire(request(setOf(Region("east")))) shouldBe SlotResponse.NoUpstream
            }
        }
    }

    describe("an owner of slots of an earlier version, which doesn't know homes") {
        // Guards against requests that leave their homes during an update of the fleet.
        it("gets slots outside of the homes back unused, and is asked for others") {
            val grants = ArrayDeque(listOf("up-s", "up-n"))
            val asked = CopyOnWriteArrayList<SlotRequest>()
            val released = CopyOnWriteArrayList<SlotRelease>()
            val peers = unresponsivePeers.copy(
                acquire = { _, request ->
                    asked += request
                    SlotResponse.Granted(UpstreamId(grants.removeFirst()))
                },
                release = { _, release -> released.add(release) },
            )
            TestHost(fleetMember("host-1", cores = 0.1), peers, regions).use { host ->
                host.setView(listOf(fleetMember("host-2")), members)
                host.slots.acquire(request(setOf(north))).getOrNull()?.upstream?.id shouldBe UpstreamId("up-n")
                asked.last().excluded shouldContainAll listOf(UpstreamId("up-s"), UpstreamId("up-x"))
                eventually(5.seconds) { released.map { it.ticket } == listOf(asked.first().ticket) }
                released.single().outcome shouldBe SlotOutcome.ABANDONED
            }
        }
    }
})
