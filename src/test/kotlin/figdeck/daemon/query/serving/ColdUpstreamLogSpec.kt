package figdeck.daemon.query.serving

import arrow.core.getOrElse
import figdeck.command.serving.putMember
import figdeck.command.serving.removeImmediately
import figdeck.control.serving.adoptPlan
import figdeck.control.serving.coldUpstreams
import figdeck.control.serving.initialServingState
import figdeck.control.serving.updateColdPools
import figdeck.daemon.command.serving.fleetMember
import figdeck.daemon.command.serving.poolMember
import figdeck.daemon.command.serving.startedAt
import figdeck.model.Moment
import figdeck.model.serving.PoolName
import figdeck.model.serving.servingPlan
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)
private val member = poolMember(PoolName("p"), "i-1").startedAt(1).copy(coldRemaining = 2.seconds)
private val plan = servingPlan {
    pool("p") {
        coldSeconds = 3.0
        coldRequestsPerSecond = 23.0
    }
}.getOrElse { error(it) }

class ColdUpstreamLogSpec : DescribeSpec({
    val planned = adoptPlan(initialServingState(fleetMember("host-1")), plan).state
    val state = updateColdPools(planned, start) { putMember(it, member, start) }.state
    val upstream = coldUpstreams(state, start).single()

    // Guards against a log in which an upstream that is gone looks like one that has warmed up.
    describe("the reason for which an upstream is no longer cold") {
        it("is the end of its time") {
            warmReason(upstream, state, start + 3.seconds) shouldBe "time over"
        }

        it("is a corrected statement") {
            val now = start + 1.seconds
            val corrected = updateColdPools(state, now) {
                putMember(it, member.copy(coldRemaining = Duration.ZERO), now)
            }.state
            coldUpstreams(corrected, now) shouldBe emptyList()
            warmReason(upstream, corrected, now) shouldBe "corrected"
        }

        it("is its removal") {
            val now = start + 1.seconds
            val removed = updateColdPools(state, now) { removeImmediately(it, upstream.id) }.state
            warmReason(upstream, removed, now) shouldBe "removed"
        }
    }
})
