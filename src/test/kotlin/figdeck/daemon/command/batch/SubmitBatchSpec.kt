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
private val impatient = BatchPace(patience = 0.milliseconds, firstBackoff = 1.milliseconds)

private fun BatchBench.acceptedJobs(): List<String> =
    rows.filterKeys { it.startsWith("batch/") }.values.filter { "\"accepted\"" in it.value }.map { it.key.drop(6) }

class SubmitBatchSpec : DescribeSpec({
    describe("a submission whose host meets a fault, at every step") {
        for (fault in StepFault.entries) {
            for (pace in listOf(BatchPace(firstBackoff = 1.milliseconds), impatient)) {
                it("is kept or not as it was told, and a resend gives one job: $fault, patience ${pace.patience}") {
                    val all = BatchBench().use { bench -> Steps().also { bench.host(it).submitBench(ITEMS) }.count }
                    for (at in 0 until all) {
                        withClue("step $at") {
                            BatchBench().use { bench ->
                                val told = runCatching { bench.host(Steps(at, fault), pace).submitBench(ITEMS) }
                                told.getOrNull()?.let { bench.shouldHold(it) }
                                val again = bench.host().submitBench(ITEMS).getOrNull()
                                bench.acceptedJobs() shouldBe listOf(again?.value)
                                told.getOrNull()?.onRight { it shouldBe again }
                            }
                        }
                    }
                }
            }
        }
    }

    describe("a resend") {
        it("gives the first job, by its content or by the team's key") {
            BatchBench().use { bench ->
                val host = bench.host()
                host.submitBench(3).getOrNull() shouldBe host.submitBench(3).getOrNull()
                host.submitBench(3, "night-1").getOrNull() shouldBe host.submitBench(3, "night-1").getOrNull()
                bench.acceptedJobs().size shouldBe 2
            }
        }

        it("gives the same job when it crosses the first one, at every step") {
            val all = BatchBench().use { bench -> Steps().also { bench.host(it).submitBench(ITEMS) }.count }
            for (at in 0 until all) {
                BatchBench().use { bench ->
                    var other: BatchId? = null
                    val crossing = Steps(at) { other = bench.host().submitBench(ITEMS).getOrNull() }
                    bench.host(crossing).submitBench(ITEMS).getOrNull() shouldBe other
                    bench.acceptedJobs() shouldBe listOf(other?.value)
                }
            }
        }

        it("is refused when the key came with another body") {
            BatchBench().use { bench ->
                val host = bench.host()
                host.submitBench(3, "night-1")
                host.submitBench(4, "night-1").leftOrNull() shouldBe Refusal.IdempotencyKeyReused("night-1")
            }
        }
    }
})

private fun BatchBench.shouldHold(told: Either<Refusal, BatchId>) {
    told.fold(
        { refusal -> if (refusal.ran == MayHaveRun.NO) acceptedJobs() shouldBe emptyList() },
        { id -> acceptedJobs() shouldBe listOf(id.value) },
    )
}
