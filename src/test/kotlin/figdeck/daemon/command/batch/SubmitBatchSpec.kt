package figdeck.daemon.command.batch

import arrow.core.Either
import figdeck.model.BatchId
import figdeck.model.MayHaveRun
import figdeck.model.Refusal
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds

private const val ITEMS = 1_500
private val noStoreRetries = BatchTuning(storeTimeout = 0.milliseconds, initialBackoff = 1.milliseconds)

private fun BatchHarness.acceptedJobs(): List<String> =
    rows.filterKeys { it.startsWith("batch/") }.values.filter { "\"accepted\"" in it.value }.map { it.key.drop(6) }

class SubmitBatchSpec : DescribeSpec({
    describe("a submission with a fault at each step") {
        for (fault in HostFault.entries) {
            for (tuning in listOf(BatchTuning(initialBackoff = 1.milliseconds), noStoreRetries)) {
                it("matches its reply, and a resend yields one job: $fault, store timeout ${tuning.storeTimeout}") {
                    val stepCount = BatchHarness().use { harness ->
                        FaultInjector().also { harness.host(it).submitItems(ITEMS) }.stepCount
                    }
                    for (step in 0 until stepCount) {
                        withClue("step $step") {
                            BatchHarness().use { harness ->
                                val outcome = runCatching {
                                    harness.host(FaultInjector(step, fault), tuning).submitItems(ITEMS)
                                }
                                outcome.getOrNull()?.let { harness.shouldMatchOutcome(it) }
                                val resent = harness.host().submitItems(ITEMS).getOrNull()
                                harness.acceptedJobs() shouldBe listOf(resent?.value)
                                outcome.getOrNull()?.onRight { it shouldBe resent }
                            }
                        }
                    }
                }
            }
        }
    }

    describe("a resend") {
        it("returns the first job, identified by its content or by its idempotency key") {
            BatchHarness().use { harness ->
                val host = harness.host()
                host.submitItems(3).getOrNull() shouldBe host.submitItems(3).getOrNull()
                host.submitItems(3, "night-1").getOrNull() shouldBe host.submitItems(3, "night-1").getOrNull()
                harness.acceptedJobs().size shouldBe 2
            }
        }

        it("returns the same job when it overlaps the first submission, at each step") {
            val stepCount = BatchHarness().use { harness ->
                FaultInjector().also { harness.host(it).submitItems(ITEMS) }.stepCount
            }
            for (step in 0 until stepCount) {
                BatchHarness().use { harness ->
                    var other: BatchId? = null
                    val concurrentSubmission = FaultInjector(step) {
                        other = harness.host().submitItems(ITEMS).getOrNull()
                    }
                    harness.host(concurrentSubmission).submitItems(ITEMS).getOrNull() shouldBe other
                    harness.acceptedJobs() shouldBe listOf(other?.value)
                }
            }
        }

        it("is refused when the idempotency key was used with another body") {
            BatchHarness().use { harness ->
                val host = harness.host()
                host.submitItems(3, "night-1")
                host.submitItems(4, "night-1").leftOrNull() shouldBe Refusal.IdempotencyKeyReused("night-1")
            }
        }
    }
})

private fun BatchHarness.shouldMatchOutcome(outcome: Either<Refusal, BatchId>) {
    outcome.fold(
        { refusal -> if (refusal.ran == MayHaveRun.NO) acceptedJobs() shouldBe emptyList() },
        { id -> acceptedJobs() shouldBe listOf(id.value) },
    )
}
