package figdeck.query

import figdeck.command.journal.isExpired
import figdeck.command.journal.isWithinAllRetentions
import figdeck.model.Attempt
import figdeck.model.Configuration
import figdeck.model.Epoch
import figdeck.model.HostId
import figdeck.model.Intent
import figdeck.model.OpenRequest
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.Revision
import figdeck.model.RouteName
import figdeck.model.TeamId
import figdeck.model.UpstreamId
import figdeck.model.Work
import figdeck.model.hashKey
import figdeck.model.template
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration.Companion.hours

private val host = HostId("host-1")
private val slots = UpstreamId("slots-1")
private val accepted = RequestRecord(
    id = RequestId("r1"),
    team = TeamId("stado"),
    work = Work.ServiceCall(RouteName("slots"), "POST", "/check", "text/plain", "herd 1", idempotent = false),
    host = host,
    epoch = Epoch(7),
    revision = Revision(3),
    acceptedAtMillis = 1_000,
    idempotencyKey = null,
    attempts = emptyList(),
    endedAtMillis = null,
    outcome = null,
)
private val lost = accepted.copy(
    attempts = listOf(Attempt(slots, host, 1_020, "lost: no response")),
    endedAtMillis = 1_500,
    outcome = Outcome.Failed(Refusal.UpstreamLost(slots)),
)
private val acceptance = ExplainedStep(
    1_000,
    StepKind.ACCEPTED,
    host,
    null,
    "POST /check on route 'slots' for team 'stado', epoch 7, revision 3",
)

class ExplanationSpec : DescribeSpec({
    describe("the explanation") {
        it("of a call whose host was lost includes the intent") {
            val open = OpenRequest(accepted.id, host, Epoch(7), Intent(slots, host, 1_010))
            explain(accepted, open).steps shouldBe listOf(
                acceptance,
                ExplainedStep(1_010, StepKind.INTENDED, host, slots, "may have run from here on"),
            )
        }

        it("of a call whose upstream was lost includes the attempt and that it may have run") {
            val refused = "upstream 'slots-1' was lost after it got the work: check its effect before sending again"
            explain(lost, null).steps shouldBe listOf(
                acceptance,
                ExplainedStep(1_020, StepKind.SENT, host, slots, "lost: no response"),
                ExplainedStep(1_500, StepKind.ENDED, host, slots, "failed, ran unknown: $refused"),
            )
        }
    }

    describe("a result") {
        val evening = template("evening") {
            retentionHours = 1
            team("stado") { key("desk", hashKey("k").hex) }
        }.fold({ error(it.joinToString()) }, { it })
        val configuration = Configuration(Revision(1), persistentMapOf(evening.name to evening))
        val hour = 1.hours.inWholeMilliseconds

        it("expires after its template's retention, and never before the request has ended") {
            isExpired(lost, configuration, 1_500 + hour) shouldBe false
            isExpired(lost, configuration, 1_501 + hour) shouldBe true
            isExpired(accepted, configuration, 1_501 + hour) shouldBe false
            isExpired(lost.copy(team = TeamId("gone")), configuration, 1_501 + hour) shouldBe false
        }

        it("is too young to expire, like all later ones, within the shortest retention") {
            isWithinAllRetentions(1_000, configuration, 1_000 + hour) shouldBe true
            isWithinAllRetentions(1_000, configuration, 1_001 + hour) shouldBe false
        }
    }
})
