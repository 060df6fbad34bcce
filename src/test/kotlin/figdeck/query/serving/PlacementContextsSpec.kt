package figdeck.query.serving

import figdeck.command.serving.applyScan
import figdeck.command.serving.confirmRenewal
import figdeck.command.serving.singleMemberFleet
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Moment
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.model.serving.ColdStartPolicy
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.FleetScan
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.ServingPool
import figdeck.model.serving.SlotRequest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val SCANNED_AT = 100_000L
private const val KEY = "slots/engines"
private val now = Moment(0, 0) + 60.seconds
private val engines = PoolName("engines")

private fun member(name: String, centre: String) =
    FleetMember(HostId(name), Address("10.0.0.1", 80), DataCentre(centre), "i-$name", 0, SCANNED_AT)

private val members = listOf(member("a", "north"), member("b", "south"))

private fun fleet(self: String): Fleet {
    val me = members.first { it.host.value == self }
    return confirmRenewal(applyScan(singleMemberFleet(me), FleetScan(members, SCANNED_AT, now)), me, now)
}

private fun request(from: String) = SlotRequest(
    ticket = 1,
    from = HostId(from),
    pool = engines,
    team = null,
    lane = Lane.ONLINE,
    cost = 1,
    affinity = null,
    excluded = emptySet(),
    maxWait = 1.seconds,
)

private fun upstream(
    id: String,
    pool: PoolName = engines,
    isLeaving: Boolean = false,
    startedAt: Long? = null,
): PoolMember {
    val kind = UpstreamKind.ENGINE
    val address = Address("10.0.0.2", 80)
    val upstream = Upstream(UpstreamId(id), address, DataCentre("north"), kind, 8, honoursFencing = false, startedAt)
    return PoolMember(upstream, pool, isLeaving)
}

private fun view(self: String, upstreams: List<PoolMember> = emptyList(), plan: ServingPlan? = null) =
    PlacementView(upstreamStarts(upstreams.associateBy { it.upstream.id }), fleet(self), plan)

class PlacementContextsSpec : DescribeSpec({
    describe("the context of a placement") {
        it("has the data centre of the requesting host, also when that is another one or is unknown") {
            placementContextOf(request("a"), KEY, view("a"), now).dataCentre shouldBe DataCentre("north")
            placementContextOf(request("b"), KEY, view("a"), now).dataCentre shouldBe DataCentre("south")
            placementContextOf(request("c"), KEY, view("a"), now).dataCentre shouldBe null
        }

        it("names at most one host as the only one that grants slots") {
            members.count { placementContextOf(request("a"), KEY, view(it.host.value), now).isOnlyGranter } shouldBe 1
        }

        it("names no host that cannot reach the store, since another one may grant slots by then") {
            val later = now + 3.seconds
            members.count { placementContextOf(request("a"), KEY, view(it.host.value), later).isOnlyGranter } shouldBe 0
        }

        it("lists the upstreams of the pool with their starts, without those that are leaving") {
            val upstreams = listOf(
                upstream("one", startedAt = 5),
                upstream("two"),
                upstream("leaving", isLeaving = true),
                upstream("other", PoolName("others")),
            )
            placementContextOf(request("a"), KEY, view("a", upstreams), now).upstreams shouldBe
                mapOf(UpstreamId("one") to 5L, UpstreamId("two") to null)
        }

        it("has the pool's tokens in an event and time of a cold start, or their defaults without a plan") {
            val pool = ServingPool(engines, ColdStartPolicy(3.seconds, 23.0), tokensPerEvent = 12)
            val plan = ServingPlan(1, emptyList(), emptyList(), 1, listOf(pool))
            val configured = placementContextOf(request("a"), KEY, view("a", plan = plan), now)
            configured.tokensPerEvent shouldBe 12
            configured.coldTime shouldBe 3.seconds
            val default = placementContextOf(request("a"), KEY, view("a"), now)
            default.tokensPerEvent shouldBe 1
            default.coldTime shouldBe Duration.ZERO
        }
    }
})
