package figdeck.control.serving

import arrow.core.getOrElse
import figdeck.command.dispatch.ColdBucket
import figdeck.command.dispatch.UpstreamState
import figdeck.command.dispatch.idleUpstream
import figdeck.command.dispatch.with
import figdeck.command.serving.ColdSource
import figdeck.command.serving.PoolMembers
import figdeck.command.serving.putMember
import figdeck.command.serving.recordCold
import figdeck.command.serving.removeImmediately
import figdeck.daemon.command.serving.fleetMember
import figdeck.daemon.command.serving.poolMember
import figdeck.daemon.command.serving.startedAt
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolMember
import figdeck.model.serving.PoolName
import figdeck.model.serving.servingPlan
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val pool = PoolName("p")
private val first = UpstreamId("i-1")
private val second = UpstreamId("i-2")
private val coldPlan = servingPlan {
    pool("p") {
        coldSeconds = 3.0
        coldRequestsPerSecond = 23.0
    }
}.getOrElse { error(it) }

private fun entry(id: UpstreamId, remaining: Duration?): PoolMember =
    poolMember(pool, id.value).startedAt(1).copy(coldRemaining = remaining)

/** The state of a host whose dispatcher knows both upstreams. Their entries say that they are cold for [remaining]. */
private class ColdHost(remaining: Duration?) {
    var state = adoptPlan(initialServingState(fleetMember("host-1")), coldPlan).state

    init {
        listOf(first, second).forEach { id ->
            val member = entry(id, remaining)
            state = state.copy(slots = state.slots.with(idleUpstream(member.upstream, at(0))))
            update(0) { putMember(it, member, at(0)) }
        }
    }

    fun update(now: Long, change: (PoolMembers) -> PoolMembers) {
        state = updateColdPools(state, at(now), change).state
    }

    fun upstream(id: UpstreamId): UpstreamState = state.slots.upstreams.getValue(id)

    fun bucket(id: UpstreamId): ColdBucket? = upstream(id).cold
}

class ColdLimitsSpec : DescribeSpec({
    describe("the limit of an upstream") {
        // Guards against upstreams that stay limited by a statement that was corrected.
        it("ends when its entry is corrected to 0") {
            val host = ColdHost(2.seconds)
            host.bucket(first).shouldNotBeNull()
            host.update(100) { putMember(it, entry(first, Duration.ZERO), at(100)) }
            host.bucket(first).shouldBeNull()
            host.bucket(second).shouldNotBeNull()
        }

        it("ends when an answer says that the upstream, which was assumed cold, isn't") {
            val host = ColdHost(null)
            host.bucket(first).shouldNotBeNull()
            host.update(100) { recordCold(it, entry(first, null).start, Duration.ZERO, ColdSource.REPLY, at(100)) }
            host.bucket(first).shouldBeNull()
        }

        // Guards against requests that are queued at an upstream without an entry and are all sent to it at once.
        it("stays in force when its upstream is removed") {
            val host = ColdHost(2.seconds)
            host.update(100) { removeImmediately(it, first) }
            host.bucket(first).shouldNotBeNull()
        }

        // Guards against a start of a whole pool whose cost is the square of the number of its upstreams.
        it("is not computed again when that of another upstream changes") {
            val host = ColdHost(2.seconds)
            val before = host.upstream(first)
            host.update(100) { putMember(it, entry(second, 3.seconds), at(100)) }
            host.upstream(first) shouldBeSameInstanceAs before
            host.bucket(second).shouldNotBeNull().updatedAt shouldBe at(100)
        }
    }
})
