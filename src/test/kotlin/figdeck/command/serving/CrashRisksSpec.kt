package figdeck.command.serving

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.CRASH_REPORT_RETENTION
import figdeck.model.serving.Clearance
import figdeck.model.serving.CrashReport
import figdeck.model.serving.CrashRisks
import figdeck.model.serving.CrashSuspect
import figdeck.model.serving.KnownCrash
import figdeck.model.serving.PromptPart
import figdeck.model.serving.RequestFingerprint
import figdeck.model.serving.UpstreamStart
import figdeck.model.serving.noCrashRisks
import figdeck.query.serving.CrashHold
import figdeck.query.serving.expiredClearances
import figdeck.query.serving.expiredCrashes
import figdeck.query.serving.holdOf
import figdeck.query.serving.trialAt
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private val start = Moment(0, 0)
private val deadly = PromptPart("deadly")
private val topic = PromptPart("topic")

/** The loss of [upstream] by [request], seconds after the start and with the row version of the same number. */
private data class Loss(
    val request: String,
    val upstream: String,
    val second: Int,
    val suspects: Set<CrashSuspect> = setOf(deadly),
    val startedAt: Long? = null,
)

private fun CrashRisks.after(vararg losses: Loss): CrashRisks = losses.fold(this) { risks, loss ->
    val at = start + loss.second.seconds
    val report = CrashReport(loss.request, UpstreamStart(UpstreamId(loss.upstream), loss.startedAt), loss.suspects)
    putCrash(risks, "crash-${loss.second}", KnownCrash(report, at, loss.second.toLong()), at)
}

private fun CrashRisks.holds(suspects: List<CrashSuspect>): CrashHold? = holdOf(suspects, start + 10.seconds)

private fun CrashRisks.holds(part: PromptPart): CrashHold? = holds(listOf(part))

private val quarantined = noCrashRisks.after(Loss("a", "e-1", 1), Loss("b", "e-2", 2), Loss("c", "e-1", 3))

class CrashRisksSpec : DescribeSpec({
    describe("a part of a prompt") {
        it("is held back after three requests have lost two upstreams") {
            noCrashRisks.after(Loss("a", "e-1", 1), Loss("b", "e-2", 2)).holds(deadly).shouldBeNull()
            quarantined.holds(listOf(topic, deadly)) shouldBe
                CrashHold(deadly, CRASH_REPORT_RETENTION - 9.seconds, trialFrom = start + 18.seconds)
            quarantined.holds(topic).shouldBeNull()
        }

        it("is not held back for losses at a single upstream") {
            noCrashRisks.after(*Array(6) { Loss("request-$it", "e-1", it + 1) }).holds(deadly).shouldBeNull()
        }

        // Guards against a prompt that crashes the only upstream of a pool again each time it starts.
        it("is held back after three requests have lost two starts of a single upstream") {
            val losses = Array(3) { Loss("request-$it", "e-1", 5 * it + 1, startedAt = it / 2 + 1L) }
            noCrashRisks.after(*losses.copyOf(2).requireNoNulls()).holds(deadly).shouldBeNull()
            noCrashRisks.after(*losses).holdOf(listOf(deadly), start + 12.seconds).shouldNotBeNull()
        }

        it("is not held back for losses at a single start that not all hosts tell") {
            val losses = Array(6) { Loss("request-$it", "e-1", it + 1, startedAt = if (it % 2 == 0) null else 1) }
            noCrashRisks.after(*losses).holds(deadly).shouldBeNull()
        }

        it("is held back after one request has lost five upstreams") {
            val losses = Array(5) { Loss("item", "e-$it", it + 1) }
            noCrashRisks.after(*losses.copyOf(4).requireNoNulls()).holds(deadly).shouldBeNull()
            noCrashRisks.after(*losses).holds(deadly).shouldNotBeNull()
        }

        it("is not held back while most upstreams are lost without it, until chance is ruled out") {
            val losses = Array(16) { i ->
                val isDeadly = i % 3 == 0
                Loss("request-$i", "e-$i", i + 1, setOf(if (isDeadly) deadly else PromptPart("other-$i")))
            }
            noCrashRisks.after(*losses.copyOf(13).requireNoNulls()).holds(deadly).shouldBeNull()
            noCrashRisks.after(*losses).holds(deadly).shouldNotBeNull()
        }

        // Guards against an item that is tried again and again, and crashes an upstream each time.
        it("may be tried with an item 15 s after the latest loss, and twice as long after each further one") {
            val losses = Array(5) { Loss("request-$it", "e-$it", it + 1) }
            listOf(3 to 18, 4 to 34, 5 to 65).forEach { (count, second) ->
                val risks = noCrashRisks.after(*losses.take(count).toTypedArray())
                risks.holds(deadly)?.trialFrom shouldBe start + second.seconds
            }
        }

        it("is tried at different times by different hosts, in the 10 s after that") {
            val hold = quarantined.holds(deadly).shouldNotBeNull()
            val times = (1..13).map { hold.trialAt(HostId("host-$it")).shouldNotBeNull() - start }
            times.distinct().size shouldBe 13
            (times.min() >= 18.seconds && times.max() < 28.seconds) shouldBe true
        }

        it("is tried again when its reports no longer count") {
            val end = start + 1.seconds + CRASH_REPORT_RETENTION
            quarantined.holdOf(listOf(deadly), start + CRASH_REPORT_RETENTION).shouldNotBeNull()
            quarantined.holdOf(listOf(deadly), end).shouldBeNull()
            quarantined.expiredCrashes(end) shouldBe emptySet()
            quarantined.expiredCrashes(end + 2.seconds) shouldBe setOf("crash-1", "crash-2")
        }
    }

    describe("a request that its caller repeats") {
        val request = RequestFingerprint("17")

        it("is held back after three losses at two upstreams, whichever attempts they come from") {
            val losses = arrayOf(Loss("a", "e-1", 1, setOf(request)), Loss("a", "e-2", 2, setOf(request)))
            val risks = noCrashRisks.after(*losses)
            risks.holds(listOf(topic, request)).shouldBeNull()
            val later = risks.after(Loss("b", "e-1", 3, setOf(request)))
            later.holds(listOf(topic, request))?.suspect shouldBe request
            later.holds(topic).shouldBeNull()
        }

        it("is not held back for losses at a single upstream") {
            noCrashRisks.after(*Array(6) { Loss("a", "e-1", it + 1, setOf(request)) }).holds(listOf(request))
                .shouldBeNull()
        }

        it("is the only one held back if the parts of its prompt had no other answer either") {
            val losses = Array(6) { Loss("attempt-$it", "e-$it", it + 1, setOf(topic, request)) }
            val risks = noCrashRisks.after(*losses)
            risks.holds(listOf(topic, request)).shouldNotBeNull()
            risks.holds(listOf(topic, RequestFingerprint("18"))).shouldBeNull()
        }
    }

    describe("a part that was answered after its reports") {
        val cleared = clear(quarantined, deadly, Clearance(3, start + 4.seconds), start + 4.seconds)

        it("is sent again on every host that knows it") {
            cleared.holds(deadly).shouldBeNull()
        }

        it("is held back again only by as many later reports") {
            val later = cleared.after(Loss("d", "e-1", 5), Loss("e", "e-2", 6))
            later.holds(deadly).shouldBeNull()
            later.after(Loss("f", "e-3", 7)).holds(deadly).shouldNotBeNull()
        }

        it("stays cleared when one of its reports is written again") {
            val first = checkNotNull(cleared.crashes["crash-1"])
            val again = putCrash(cleared, "crash-1", first.copy(version = 9), start + 9.seconds)
            val listed = replaceRisks(
                again,
                again.crashes + ("crash-1" to first.copy(version = 9)),
                again.clearances,
                start
            )
            listOf(again, listed).map { it.after(Loss("d", "e-1", 5), Loss("e", "e-2", 6)).holds(deadly) }
                .forEach { it.shouldBeNull() }
        }

        it("is cleared of reports that the store has not confirmed, on the host that answered it") {
            val unconfirmed = quarantined.crashes.mapValues { it.value.copy(version = null) }
            val risks = unconfirmed.entries.fold(
                noCrashRisks
            ) { all, (key, crash) -> putCrash(all, key, crash, start) }
            risks.holds(deadly).shouldNotBeNull()
            clearLocally(risks, deadly, start).holds(deadly).shouldBeNull()
        }

        it("stays cleared for longer than its reports are kept") {
            cleared.expiredClearances(start + CRASH_REPORT_RETENTION * 2) shouldBe emptySet()
            cleared.expiredClearances(start + CRASH_REPORT_RETENTION * 2 + 5.seconds) shouldBe setOf(deadly)
        }
    }

    describe("two parts that every lost prompt had") {
        val both = setOf(topic, deadly)
        val risks = noCrashRisks.after(
            Loss("a", "e-1", 1, both),
            Loss("b", "e-2", 2, both),
            Loss("c", "e-3", 3, both),
        )

        it("are held back together, and each alone is sent to find out which it is") {
            risks.holds(listOf(topic, deadly)).shouldNotBeNull()
            risks.holds(topic).shouldBeNull()
            risks.holds(deadly).shouldBeNull()
        }

        it("are told apart by the next loss with one of them") {
            val next = risks.after(Loss("d", "e-1", 4))
            next.holds(deadly).shouldNotBeNull()
            next.holds(topic).shouldBeNull()
        }

        it("are told apart by an answer to one of them") {
            val next = clear(risks, topic, Clearance(3, start), start)
            next.holds(deadly).shouldNotBeNull()
            next.holds(topic).shouldBeNull()
        }
    }

    describe("a host that reads the table anew") {
        it("keeps its own reports that the store has not confirmed") {
            val report = CrashReport("own", UpstreamStart(UpstreamId("e-1"), null), setOf(deadly))
            val own = KnownCrash(report, start, version = null)
            val listed = quarantined.crashes - "crash-1"
            val risks = replaceRisks(putCrash(quarantined, "crash-own", own, start), listed, emptyMap(), start)
            risks.crashes.keys shouldBe setOf("crash-own", "crash-2", "crash-3")
            risks.holds(deadly).shouldNotBeNull()
        }
    }
})
