package figdeck.query.serving

import figdeck.model.UpstreamId
import figdeck.model.serving.WeightsVersion
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val expected = UpstreamId("i-1")
private val other = UpstreamId("i-2")
private val one = WeightsVersion("1")
private val two = WeightsVersion("2")

private fun causeOf(weights: WeightsVersion?, answeredBy: UpstreamId?, answeredWeights: WeightsVersion?) =
    Misdirection(expected, weights, answeredBy?.value, answeredWeights).cause

class MisdirectionSpec : DescribeSpec({
    // Guards against sound upstreams that are dropped for the weights that a request asks for, and against addresses
    // that stay in use for an upstream that has gone.
    describe("a rejection by an upstream that names itself") {
        it("shows another upstream, whatever the weights are") {
            listOf(null, one).forEach { weights ->
                listOf(null, one, two).forEach { answered ->
                    causeOf(weights, other, answered) shouldBe MisdirectionCause.REPLACED
                }
            }
        }

        it("shows other weights if the request asks for some") {
            causeOf(one, expected, two) shouldBe MisdirectionCause.OTHER_WEIGHTS
            causeOf(one, expected, null) shouldBe MisdirectionCause.OTHER_WEIGHTS
        }

        it("has another reason if the weights are as requested, or none are requested") {
            causeOf(one, expected, one) shouldBe MisdirectionCause.OTHER
            causeOf(null, expected, two) shouldBe MisdirectionCause.OTHER
        }
    }

    describe("a rejection by an upstream that does not name itself") {
        it("shows another upstream if the weights are not the reason") {
            causeOf(null, null, null) shouldBe MisdirectionCause.REPLACED
            causeOf(null, null, two) shouldBe MisdirectionCause.REPLACED
            causeOf(one, null, one) shouldBe MisdirectionCause.REPLACED
        }

        it("does not show another upstream if the weights may be the reason") {
            causeOf(one, null, two) shouldBe MisdirectionCause.OTHER_WEIGHTS
            causeOf(one, null, null) shouldBe MisdirectionCause.OTHER_WEIGHTS
        }
    }
})
