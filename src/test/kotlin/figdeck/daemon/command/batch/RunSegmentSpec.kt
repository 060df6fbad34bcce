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

private suspend fun BatchHarness.submitJob(): BatchId = host().submitItems(ITEMS).getOrElse { error(it) }

/** The number of steps of a run without faults. */
private suspend fun countRunSteps(): Int = BatchHarness().use { harness ->
    val id = harness.submitJob()
    val faults = FaultInjector()
    harness.host(faults).runFirstSegment(id)
    faults.stepCount
}

private suspend fun forEachStep(check: suspend BatchHarness.(BatchId, Int) -> Unit) {
    for (step in 0 until countRunSteps()) {
        withClue("step $step") { BatchHarness().use { harness -> harness.check(harness.submitJob(), step) } }
    }
}

private suspend fun BatchHarness.shouldBeComplete(id: BatchId) {
    outcomes(results(id).joinToString("\n")) shouldBe expected
    status(id).job.storedState.name shouldBe "COMPLETED"
    rows.keys.filter { it.startsWith("work/") } shouldBe emptyList()
}

class RunSegmentSpec : DescribeSpec({
    describe("a run of a segment, at every step") {
        it("takes the expected number of steps") {
            countRunSteps() shouldBe ITEMS + 11
        }

        for (fault in listOf(HostFault.CRASH_BEFORE, HostFault.CRASH_AFTER)) {
            it("produces one result per item after the host crashes: $fault") {
                forEachStep { id, step ->
                    runCatching { host(FaultInjector(step, fault)).runFirstSegment(id) }
                    host().runFirstSegment(id)
                    shouldBeComplete(id)
                }
            }
        }

        for (fault in listOf(HostFault.LOST_BEFORE, HostFault.LOST_AFTER)) {
            it("produces one result per item after a reply is lost: $fault") {
                forEachStep { id, step ->
                    val host = host(FaultInjector(step, fault))
                    host.runFirstSegment(id)
                    host.runFirstSegment(id)
                    shouldBeComplete(id)
                }
            }
        }

        it("changes nothing when a paused owner resumes after the next owner has finished") {
            forEachStep { id, step ->
                val gate = CompletableDeferred<Unit>()
                val paused = CompletableDeferred<Unit>()
                val pausedHost = host(
                    FaultInjector(step) {
                        paused.complete(Unit)
                        gate.await()
                    },
                )
                coroutineScope {
                    launch { pausedHost.runFirstSegment(id) }
                    paused.await()
                    host().runFirstSegment(id)
                    val before = results(id)
                    gate.complete(Unit)
                    before.size shouldBe ITEMS
                }
                shouldBeComplete(id)
            }
        }

        it("never replaces a readable result when two runs of one owner overlap") {
            val stepCount = countRunSteps()
            for (crash in 0 until stepCount) {
                forEachStep { id, step ->
                    val owner = takeOwnership()
                    var readable = emptyList<String>()
                    val concurrentRun = FaultInjector(step) {
                        runCatching {
                            host(FaultInjector(crash, HostFault.CRASH_AFTER), fence = owner).runFirstSegment(id)
                        }
                        readable = resultObjects(id)
                    }
                    host(concurrentRun, fence = owner).runFirstSegment(id)
                    resultObjects(id).take(readable.size) shouldBe readable
                    host().runFirstSegment(id)
                    shouldBeComplete(id)
                }
            }
        }

        it("commits nothing after another host has taken the ownership") {
            forEachStep { id, step ->
                var before = 0
                val outdatedHost = FaultInjector(step) {
                    takeOwnership()
                    before = status(id).finished
                }
                host(outdatedHost).runFirstSegment(id)
                status(id).finished shouldBe before
            }
        }

        it("makes no progress after a cancel is acknowledged, and keeps finished results") {
            val states = mutableSetOf<JobState>()
            forEachStep { id, step ->
                val canceller = host()
                var acknowledged: BatchStatus? = null
                val faults = FaultInjector(step) {
                    acknowledged = canceller.cancelBatch(testTeam.id, id.value).getOrNull()
                }
                host(faults).runFirstSegment(id)
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
