package figdeck.daemon.command.batch

import arrow.core.getOrElse
import figdeck.model.Moment
import figdeck.model.RetainedJob
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

private fun BatchServices.later(by: Duration): BatchServices {
    val clock = services.clock
    return copy(services = services.copy(clock = { clock() + by }))
}

private fun BatchBench.own(): Set<String> = rows.keys.filterNot { it == "owner" }.toSet()

class SweepBatchesSpec : DescribeSpec({
    describe("a sweep") {
        it("keeps a completed job within its retention and clears it whole after") {
            BatchBench().use { bench ->
                val id = bench.host().submitBench(7).getOrElse { error(it) }
                bench.host().runFirst(id)
                val kept = RetainedJob(id, benchTeam.id, Moment(0, 0).epochMillis)
                bench.host().later(71.hours).sweep(kept)
                bench.results(id).size shouldBe 7
                bench.host().later(73.hours).sweep(kept)
                bench.own() shouldBe emptySet()
                bench.objects.keys shouldBe emptySet()
            }
        }

        it("never clears a job that still runs") {
            BatchBench().use { bench ->
                val id = bench.host().submitBench(7).getOrElse { error(it) }
                bench.host().later(1000.hours).sweep(RetainedJob(id, benchTeam.id, 0))
                bench.host().runFirst(id)
                bench.results(id).size shouldBe 7
            }
        }

        it("abandons an upload that never ended, at every step, so that it is never accepted, and clears it") {
            val all = BatchBench().use { bench -> Steps().also { bench.host(it).submitBench(1_500) }.count }
            for (at in 1 until all) {
                BatchBench().use { bench ->
                    val late = Steps(at) {
                        val kept = bench.rows.values.single { it.key.startsWith("kept/") }
                        val job = figdeck.wire.decodeRetainedJob(kept.value)
                        repeat(2) { bench.host().later(2.hours).sweep(job) }
                    }
                    val told = bench.host(late, BatchPace(patience = 0.milliseconds)).submitBench(1_500)
                    told.isRight() shouldBe bench.rows.values.any { "\"accepted\"" in it.value }
                }
            }
        }
    }
})
