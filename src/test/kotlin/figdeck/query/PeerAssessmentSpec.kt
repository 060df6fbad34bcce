package figdeck.query

import figdeck.model.Moment
import figdeck.model.PeerView
import figdeck.model.Revision
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun view(revision: Long, ago: Duration?, inDoubt: Boolean) =
    PeerView(Revision(revision), ago, inDoubt, emptyList())

class PeerAssessmentSpec : DescribeSpec({
    val ours = Revision(7)

    describe("peers that reach the table") {
        it("vouch with the youngest confirmation of the same revision") {
            val answers = listOf(
                view(7, 900.milliseconds, false),
                view(7, 300.milliseconds, false),
                view(7, null, true)
            )
            assessPeers(ours, 11, answers) shouldBe PeerAssessment(300.milliseconds, outageAgreed = false)
        }

        it("don't vouch for another revision") {
            assessPeers(ours, 11, listOf(view(8, 100.milliseconds, false), view(6, 100.milliseconds, false))) shouldBe
                PeerAssessment(null, outageAgreed = false)
        }
    }

    describe("peers that lost the table too") {
        val lost = view(7, 20.seconds, inDoubt = true)

        it("agree on an outage when they and this host are a majority of the known hosts") {
            assessPeers(ours, 11, List(6) { lost }).outageAgreed shouldBe true
            assessPeers(ours, 11, List(5) { lost }).outageAgreed shouldBe false
        }

        it("are contradicted by one that reaches the table or knows a newer revision") {
            assessPeers(ours, 11, List(10) { lost } + view(7, null, false)).outageAgreed shouldBe false
            assessPeers(ours, 11, List(10) { lost } + view(8, 20.seconds, true)).outageAgreed shouldBe false
        }

        it("leave half a fleet of two without a majority, and a fleet of one by itself") {
            assessPeers(ours, 1, emptyList()).outageAgreed shouldBe false
            assessPeers(ours, 0, emptyList()).outageAgreed shouldBe true
        }
    }

    describe("what was confirmed") {
        val asked = Moment(0, 0)

        it("is current for 2.5 s from the sending of the question") {
            isCurrent(asked, null, asked + 2_499.milliseconds) shouldBe true
            isCurrent(asked, null, asked + 2_500.milliseconds) shouldBe false
        }

        it("is current under an agreed outage, but not on a host that never knew the configuration") {
            isCurrent(asked, asked + 60.seconds, asked + 62.seconds) shouldBe true
            isCurrent(asked, asked + 60.seconds, asked + 63.seconds) shouldBe false
            isCurrent(null, asked, asked) shouldBe false
        }
    }
})
