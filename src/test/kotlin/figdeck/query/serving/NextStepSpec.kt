package figdeck.query.serving

import figdeck.model.Refusal
import figdeck.model.UpstreamId
import figdeck.model.serving.CallKind
import figdeck.model.serving.WeightsVersion
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val one = UpstreamId("i-1")
private val notRun = FailedSend.NotRun(one, "full", NotRunCause.FULL)
private val mayHaveRun = FailedSend.MayHaveRun(one, "reset")

private fun history(vararg failures: FailedSend, started: Boolean = false) = SendHistory(failures.toList(), started)

class NextStepSpec : DescribeSpec({
    describe("a request that an upstream did not run") {
        CallKind.entries.forEach { kind ->
            it("is sent again if it is $kind, without counting as an attempt") {
                nextStep(kind, 1, history(notRun)) shouldBe NextStep.SendAgain
            }
        }

        it("is refused with NoUpstream after four sends") {
            nextStep(CallKind.NON_IDEMPOTENT, 1, history(notRun, notRun, notRun, notRun)) shouldBe
                NextStep.Refuse(Refusal.NoUpstream("this route"))
        }
    }

    // Guards against callers who are told that no upstream can be reached while sound ones are idle.
    describe("a request whose weights its upstreams don't have") {
        val weights = WeightsVersion("1")
        val otherWeights = FailedSend.NotRun(one, "weights 2", NotRunCause.OTHER_WEIGHTS)

        it("is sent again, and refused for its weights after four sends") {
            nextStep(CallKind.STREAM, 1, history(otherWeights), weights) shouldBe NextStep.SendAgain
            nextStep(CallKind.STREAM, 1, history(notRun, otherWeights, otherWeights, otherWeights), weights) shouldBe
                NextStep.Refuse(Refusal.WeightsUnavailable(weights))
        }
    }

    describe("a request that may have run") {
        listOf(CallKind.NON_IDEMPOTENT, CallKind.STREAM).forEach { kind ->
            it("is never sent again if it is $kind") {
                nextStep(kind, 3, history(notRun, mayHaveRun)) shouldBe NextStep.Refuse(Refusal.UpstreamLost(one))
            }
        }

        listOf(CallKind.IDEMPOTENT, CallKind.RESUMABLE_STREAM).forEach { kind ->
            it("is sent again up to its maximum attempts if it is $kind") {
                nextStep(kind, 2, history(mayHaveRun)) shouldBe NextStep.SendAgain
                nextStep(kind, 2, history(mayHaveRun, mayHaveRun)) shouldBe NextStep.Refuse(Refusal.UpstreamLost(one))
            }
        }
    }

    describe("a stream that the caller has partly received") {
        it("continues at another upstream if it can be resumed") {
            nextStep(CallKind.RESUMABLE_STREAM, 2, history(mayHaveRun, started = true)) shouldBe NextStep.SendAgain
        }

        it("is aborted if it can't be resumed") {
            nextStep(CallKind.STREAM, 2, history(mayHaveRun, started = true)) shouldBe NextStep.BreakOff("reset")
        }
    }
})
