package figdeck.query.serving

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.PoolName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

private val start = Moment(0, 0)
private val checks = mapOf(PoolName("checks") to setOf(HostId("host-1")))
private val chats = mapOf(PoolName("chats") to setOf(HostId("host-2")))

class SlotConfirmationsSpec : DescribeSpec({
    describe("slots that their owner has granted just now") {
        it("need no confirmation, not even the first ones of their pool") {
            SlotConfirmations(checks, start).areDue(checks + chats, start + 100.milliseconds) shouldBe false
        }

        it("are confirmed after the interval") {
            SlotConfirmations(checks, start).areDue(checks, start + 501.milliseconds) shouldBe true
        }
    }

    describe("slots whose pool has another owner than before") {
        it("are confirmed at once, so that the new owner does not grant them again") {
            val moved = mapOf(PoolName("checks") to setOf(HostId("host-3")))
            SlotConfirmations(checks, start).areDue(moved, start + 1.milliseconds) shouldBe true
        }
    }
})
