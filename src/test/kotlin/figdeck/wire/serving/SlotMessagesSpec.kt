package figdeck.wire.serving

import arrow.core.right
import figdeck.command.dispatch.SlotOutcome
import figdeck.daemon.command.serving.fleetMember
import figdeck.model.HostId
import figdeck.model.Lane
import figdeck.model.Region
import figdeck.model.UpstreamId
import figdeck.model.serving.AdvertisedRate
import figdeck.model.serving.HeldSlot
import figdeck.model.serving.PoolName
import figdeck.model.serving.ReportedLimit
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotUsage
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.WorkFeatures
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val request = SlotRequest(
    ticket = 7,
    from = HostId("host-1"),
    pool = PoolName("p"),
    team = null,
    lane = Lane.ONLINE,
    cost = 540,
    affinity = null,
    excluded = emptySet(),
    maxWait = 100.milliseconds,
)

private val release = SlotRelease(7, SlotOutcome.ANSWERED, 540)

class SlotMessagesSpec : DescribeSpec({
    // Guards against a field that one host sends and the other one does not read.
    describe("a slot request") {
        it("is read as it was sent, with homes and features") {
            val sent = request.copy(homes = setOf(Region("north")), features = WorkFeatures("r", 450, 200, 400, 90))
            decodeSlotRequest(encodeSlotRequest(sent)) shouldBe sent.right()
        }

        it("is read from a host of an earlier version, without them") {
            decodeSlotRequest("""{"ticket":7,"from":"host-1","pool":"p","cost":540,"patienceMillis":100}""") shouldBe
                request.right()
        }
    }

    describe("a release") {
        it("is read as it was sent, with the usage of the slot") {
            val usage = SlotUsage(240, 105.milliseconds, 720.milliseconds, isWhole = true)
            val sent = release.copy(usage = usage)
            decodeSlotRelease(encodeSlotRelease(sent)) shouldBe sent.right()
        }

        it("is read as it was sent, with the time for which the upstream stays cold") {
            val sent = release.copy(coldRemaining = 1_700.milliseconds)
            decodeSlotRelease(encodeSlotRelease(sent)) shouldBe sent.right()
        }

        it("is read as it was sent, with the start that is leaving") {
            val sent = release.copy(isLeaving = true, startedAtMillis = 1_796_574_273_372)
            decodeSlotRelease(encodeSlotRelease(sent)) shouldBe sent.right()
        }

        listOf(AdvertisedRate.Limited(2.8), AdvertisedRate.Unlimited).forEach { rate ->
            it("is read as it was sent, with the limit of the upstream: $rate") {
                val sent = release.copy(limit = ReportedLimit(rate, 340.milliseconds), startedAtMillis = 1)
                decodeSlotRelease(encodeSlotRelease(sent)) shouldBe sent.right()
            }
        }

        it("is read as it was sent if no event came") {
            val sent = release.copy(usage = SlotUsage(0, null, Duration.ZERO, isWhole = false))
            decodeSlotRelease(encodeSlotRelease(sent)) shouldBe sent.right()
        }

        it("is read from a host of an earlier version, without it") {
            decodeSlotRelease("""{"ticket":7,"use":"ANSWERED","cost":540}""") shouldBe release.right()
        }
    }

    describe("limits of upstreams") {
        val limits = mapOf(
            UpstreamStart(UpstreamId("i-1"), 1) to ReportedLimit(AdvertisedRate.Limited(0.0), 340.milliseconds),
            UpstreamStart(UpstreamId("i-2"), null) to ReportedLimit(AdvertisedRate.Unlimited, 2.seconds),
        )

        it("are read as they were sent, with held slots") {
            val sent = HeldSlots(HostId("host-1"), listOf(HeldSlot(request, UpstreamId("i-1"))), limits)
            decodeHeldSlots(encodeHeldSlots(sent)) shouldBe sent.right()
            decodeHeldSlots("""{"from":"host-1","slots":[]}""") shouldBe
                HeldSlots(HostId("host-1"), emptyList()).right()
        }

        it("are read as they were written, with the entry of a host") {
            val written = fleetMember("host-1").copy(limits = limits)
            decodeFleetMember("host-1", encodeFleetMember(written)) shouldBe written.right()
        }
    }
})
