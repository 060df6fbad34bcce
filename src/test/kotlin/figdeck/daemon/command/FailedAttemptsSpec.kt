package figdeck.daemon.command

import figdeck.model.Refusal
import figdeck.model.UpstreamId
import figdeck.upstream.command.EngineResult
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class FailedAttemptsSpec : DescribeSpec({
    val overloaded = Refusal.Overloaded("every upstream", 1.seconds)

    describe("a refusal after failed attempts") {
        it("stays unchanged while no attempt can have run") {
            FailedAttempts().withNotRun(UpstreamId("a")).reportableRefusal(overloaded) shouldBe overloaded
        }

        it("reports an unknown effect once an attempt was lost") {
            val failures = FailedAttempts().withLost(UpstreamId("a")).withNotRun(UpstreamId("b"))
            failures.reportableRefusal(overloaded) shouldBe Refusal.UpstreamLost(UpstreamId("a"))
        }
    }

    describe("a refusal by the engine") {
        it("marks the item as invalid for a 4xx status, unless the engine is busy or slow") {
            val statuses = listOf(400, 422, 408, 429, 503)
            statuses.filter { EngineResult.Refused(it, "").isInvalidItem } shouldBe listOf(400, 422)
        }
    }
})
