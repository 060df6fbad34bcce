package figdeck.command.serving

import figdeck.daemon.command.serving.poolMember
import figdeck.daemon.command.serving.startedAt
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.AdvertisedLimit
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.PoolName
import figdeck.model.serving.ReportedLimit
import figdeck.model.serving.UpstreamStart
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Moment(60_000_000_000, 60_000)
private val first = UpstreamStart(UpstreamId("i-1"), 1)
private val entry = poolMember(PoolName("p"), "i-1").startedAt(1)
private val listed = putMember(emptyPoolMembers, entry)

private fun limited(rate: Double, afterMillis: Int = 0) =
    AdvertisedLimit(AdvertisedRate.Limited(rate), start + afterMillis.milliseconds)

private fun unlimited(afterMillis: Int) =
    AdvertisedLimit(AdvertisedRate.Unlimited, start + afterMillis.milliseconds)

private fun recorded(vararg limits: AdvertisedLimit): PoolMembers =
    limits.fold(listed) { state, limit -> recordLimit(state, first, limit) }

class AdvertisedLimitsSpec : DescribeSpec({
    describe("the limit of an upstream") {
        it("is the one that it named last") {
            recorded(limited(3.0), limited(2.0, 100)).limits[first] shouldBe limited(2.0, 100)
            recorded(limited(3.0), limited(2.0, 100), limited(3.0, 50)).limits[first] shouldBe limited(2.0, 100)
        }

        // Guards against an answer that was on its way for long and lifts a limit that was named after it.
        it("ends with an answer to a request that was sent after it was heard, and with no earlier one") {
            recorded(limited(3.0, 100), unlimited(90)).limits[first] shouldBe limited(3.0, 100)
            recorded(limited(3.0, 100), unlimited(110)).limits[first] shouldBe unlimited(110)
        }

        // Guards against a command for each answer of upstreams without a limit, or with the same one as before.
        it("changes with no answer that tells nothing new") {
            recordLimit(listed, first, unlimited(10)) shouldBeSameInstanceAs listed
            val known = recorded(limited(3.0))
            recordLimit(known, first, limited(3.0, 400)) shouldBeSameInstanceAs known
            recordLimit(known, first, limited(3.0, 600)).limits[first] shouldBe limited(3.0, 600)
        }

        it("is not that of a later start under its name") {
            val restarted = putMember(recorded(limited(3.0)), entry.startedAt(2))
            restarted.limits[UpstreamStart(first.id, 2)] shouldBe null
        }

        it("is remembered for 30 s after its end or its upstream's, and else as long as it lasts") {
            val lasting = recorded(limited(3.0))
            lasting.withoutPastLimits(start + 90.seconds).limits.keys shouldBe setOf(first)
            listOf(recorded(limited(3.0), unlimited(100)), removeImmediately(lasting, first.id)).forEach { past ->
                past.withoutPastLimits(start + 29.seconds).limits.keys shouldBe setOf(first)
                past.withoutPastLimits(start + 31.seconds).limits.keys shouldBe emptySet()
            }
        }
    }

    describe("a limit that another host reports") {
        it("was heard as long ago as it says, and replaces no later one") {
            val reports = mapOf(first to ReportedLimit(AdvertisedRate.Limited(2.0), 300.milliseconds))
            recordReports(listed, reports, start + 1.seconds).limits[first] shouldBe limited(2.0, 700)
            recordReports(recorded(limited(3.0, 800)), reports, start + 1.seconds).limits[first] shouldBe
                limited(3.0, 800)
        }
    }
})
