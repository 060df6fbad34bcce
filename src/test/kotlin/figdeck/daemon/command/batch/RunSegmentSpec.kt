package figdeck.daemon.command.batch

import arrow.core.getOrElse
import figdeck.model.BatchId
import figdeck.model.BatchStatus
import figdeck.model.JobState
import figdeck.process.outcomes
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

private const val ITEMS = 7
private val expected = (0 until ITEMS).map { "c$it: p${it}0 p${it}1 " }

private suspend fun BatchBench.accepted(): BatchId = host().submitBench(ITEMS).getOrElse { error(it) }

/** The number of steps that an undisturbed run takes. */
private suspend fun stepsOfARun(): Int = BatchBench().use { bench ->
    val id = bench.accepted()
    val steps = Steps()
    bench.host(steps).runFirst(id)
    steps.count
}

private suspend fun eachStep(check: suspend BatchBench.(BatchId, Int) -> Unit) {
    for (at in 0 until stepsOfARun()) {
        withClue("step $at") { BatchBench().use { bench -> bench.check(bench.accepted(), at) } }
    }
}

private suspend fun BatchBench.shouldBeWhole(id: BatchId) {
    outcomes(results(id).joinToString("\n")) shouldBe expected
    status(id).job.storedState.name shouldBe "COMPLETED"
    rows.keys.filter { it.startsWith("work/") } shouldBe emptyList()
}

class RunSegmentSpec : DescribeSpec({
    describe("a run of a segment, at every step") {
        it("takes the steps that the cases below go through") {
            stepsOfARun() shouldBe ITEMS + 11
        }

        for (fault in listOf(StepFault.CRASH_BEFORE, StepFault.CRASH_AFTER)) {
            it("gives each item one result when its host is lost: $fault") {
                eachStep { id, at ->
                    runCatching { host(Steps(at, fault)).runFirst(id) }
                    host().runFirst(id)
                    shouldBeWhole(id)
                }
            }
        }

        for (fault in listOf(StepFault.LOST_BEFORE, StepFault.LOST_AFTER)) {
            it("gives each item one result when a reply is lost: $fault") {
                eachStep { id, at ->
                    val host = host(Steps(at, fault))
                    host.runFirst(id)
                    host.runFirst(id)
                    shouldBeWhole(id)
                }
            }
        }

        it("changes nothing when an owner wakes after the next one is done") {
            eachStep { id, at ->
                val gate = CompletableDeferred<Unit>()
                val paused = CompletableDeferred<Unit>()
                val first = host(
                    Steps(at) {
                        paused.complete(Unit)
                        gate.await()
                    },
                )
                coroutineScope {
                    launch { first.runFirst(id) }
                    paused.await()
                    host().runFirst(id)
                    val before = results(id)
                    gate.complete(Unit)
                    before.size shouldBe ITEMS
                }
                shouldBeWhole(id)
            }
        }

        it("replaces no result that could be read, when two runs of one owner cross") {
            val steps = stepsOfARun()
            for (crash in 0 until steps) {
                eachStep { id, at ->
                    val owner = newOwnership()
                    var readable = emptyList<String>()
                    val crossing = Steps(at) {
                        runCatching { host(Steps(crash, StepFault.CRASH_AFTER), owns = owner).runFirst(id) }
                        readable = resultObjects(id)
                    }
                    host(crossing, owns = owner).runFirst(id)
                    resultObjects(id).take(readable.size) shouldBe readable
                    host().runFirst(id)
                    shouldBeWhole(id)
                }
            }
        }

        it("commits nothing under an ownership that has passed on") {
            eachStep { id, at ->
                var before = 0
                val passed = Steps(at) {
                    newOwnership()
                    before = status(id).finished
                }
                host(passed).runFirst(id)
                status(id).finished shouldBe before
            }
        }

        it("moves no further once a cancel is acknowledged, and keeps what was done") {
            val states = mutableSetOf<JobState>()
            eachStep { id, at ->
                val canceller = host()
                var acknowledged: BatchStatus? = null
                val steps = Steps(at) { acknowledged = canceller.cancelBatch(benchTeam.id, id.value).getOrNull() }
                host(steps).runFirst(id)
                val after = status(id)
                after.state shouldBe acknowledged?.state
                after.finished shouldBe acknowledged?.finished
                results(id).size shouldBe after.finished
                states += after.state
            }
            states shouldBe setOf(JobState.CANCELLED, JobState.COMPLETED)
        }
    }
})
