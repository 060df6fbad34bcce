package figdeck.daemon.command.batch

import arrow.core.getOrElse
import figdeck.model.Moment
import figdeck.model.RetainedJob
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

private fun BatchServices.withClockAhead(by: Duration): BatchServices {
    val clock = services.clock
    return copy(services = services.copy(clock = { clock() + by }))
}

private fun BatchHarness.remainingRows(): Set<String> = rows.keys.filterNot { it == "owner" }.toSet()

class SweepBatchesSpec : DescribeSpec({
    describe("a sweep") {
        it("keeps a completed job within its retention and then deletes all of it") {
            BatchHarness().use { harness ->
                val id = harness.host().submitItems(7).getOrElse { error(it) }
                harness.host().runFirstSegment(id)
                val retained = RetainedJob(id, testTeam.id, Moment(0, 0).epochMillis)
                harness.host().withClockAhead(71.hours).sweepJob(retained)
                harness.results(id).size shouldBe 7
                harness.host().withClockAhead(73.hours).sweepJob(retained)
                harness.remainingRows() shouldBe emptySet()
                harness.objects.keys shouldBe emptySet()
            }
        }

        it("never deletes a running job") {
            BatchHarness().use { harness ->
                val id = harness.host().submitItems(7).getOrElse { error(it) }
                harness.host().withClockAhead(1000.hours).sweepJob(RetainedJob(id, testTeam.id, 0))
                harness.host().runFirstSegment(id)
                harness.results(id).size shouldBe 7
            }
        }

        it("abandons and deletes an upload that stalls at any step, so that it is never accepted later") {
            val stepCount = BatchHarness().use { harness ->
                FaultInjector().also { harness.host(it).submitItems(1_500) }.stepCount
            }
            for (step in 1 until stepCount) {
                BatchHarness().use { harness ->
                    val delayedFinish = FaultInjector(step) {
                        val retained = harness.rows.values.single { it.key.startsWith("kept/") }
                        val job = figdeck.wire.decodeRetainedJob(retained.value)
                        repeat(2) { harness.host().withClockAhead(2.hours).sweepJob(job) }
                    }
                    val accepted =
                        harness.host(delayedFinish, BatchTuning(storeTimeout = 0.milliseconds)).submitItems(1_500)
                    accepted.isRight() shouldBe harness.rows.values.any { "\"accepted\"" in it.value }
                }
            }
        }
    }
})
