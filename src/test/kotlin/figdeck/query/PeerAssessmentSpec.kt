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

    describe("peers that can reach the table") {
        it("confirm the same revision, as of the latest confirmation among them") {
            val answers = listOf(
                view(7, 900.milliseconds, false),
                view(7, 300.milliseconds, false),
                view(7, null, true)
            )
            assessPeers(ours, 11, answers) shouldBe PeerAssessment(300.milliseconds, outageAgreed = false)
        }

        it("don't confirm another revision") {
            assessPeers(ours, 11, listOf(view(8, 100.milliseconds, false), view(6, 100.milliseconds, false))) shouldBe
                PeerAssessment(null, outageAgreed = false)
        }
    }

    describe("peers that can't reach the table either") {
        val lost = view(7, 20.seconds, inDoubt = true)

        it("agree on an outage when they and this host are a majority of the known hosts") {
            assessPeers(ours, 11, List(6) { lost }).outageAgreed shouldBe true
            assessPeers(ours, 11, List(5) { lost }).outageAgreed shouldBe false
        }

        it("are contradicted by a peer that reaches the table or knows a newer revision") {
            assessPeers(ours, 11, List(10) { lost } + view(7, null, false)).outageAgreed shouldBe false
            assessPeers(ours, 11, List(10) { lost } + view(8, 20.seconds, true)).outageAgreed shouldBe false
        }

        it("are not needed in a fleet of one host, while one host of two is no majority") {
            assessPeers(ours, 1, emptyList()).outageAgreed shouldBe false
            assessPeers(ours, 0, emptyList()).outageAgreed shouldBe true
        }
    }

    describe("a confirmed configuration") {
        val asked = Moment(0, 0)

        it("is current for 2.5 s after the request was sent") {
            isCurrent(asked, null, asked + 2_499.milliseconds) shouldBe true
            isCurrent(asked, null, asked + 2_500.milliseconds) shouldBe false
        }

        it("stays current in an agreed outage, but not on a host whose configuration was never confirmed") {
            isCurrent(asked, asked + 60.seconds, asked + 62.seconds) shouldBe true
            isCurrent(asked, asked + 60.seconds, asked + 63.seconds) shouldBe false
            isCurrent(null, asked, asked) shouldBe false
        }
    }
})
