package figdeck.daemon.query.jobs

import figdeck.command.serving.JobMemoryLimits
import figdeck.daemon.command.jobs.JobHost
import figdeck.daemon.command.jobs.JobServices
import figdeck.daemon.command.jobs.RecordWrite
import figdeck.daemon.command.jobs.self
import figdeck.daemon.command.jobs.updateJobDirectory
import figdeck.daemon.command.serving.TestHost
import figdeck.daemon.command.serving.fleetMember
import figdeck.model.Refusal
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val ITEMS = 60
private const val CALLERS = 40
private const val OUTPUT_CHARACTERS = 100_000
private val id = JobId("job-1")
private val team = TeamId("walkers")

/** The bytes of the largest pages of two callers. */
private const val ANSWER_BYTES = 8_000_000L
private val limits =
    JobMemoryLimits(held = 1_000_000, loading = 1_000_000, cached = 500_000, answers = ANSWER_BYTES)

/** Stores a closed job whose results take several pages. */
private suspend fun JobServices.storeLargeJob() {
    val items = List(ITEMS) { JobItem("item-$it", "/notes/1", emptyMap(), ByteArray(1), 1) }
    val record = JobRecord(id, team, "notes", 0, ITEMS, 0, 0, false, self, 0, "w")
    var job = (store.create(record, items) as RecordWrite.Written).job
    for (position in 0 until ITEMS) {
        val result = JobResult("item-$position", isComplete = true, output = "x".repeat(OUTPUT_CHARACTERS))
        val rows = store.resultRowWrites(id, position, listOf(result))
        val next = job.record.copy(results = position + 1, writeId = "w-$position")
        job = (store.write(next, job.version, rows) as RecordWrite.Written).job
    }
    updateJobDirectory(job)
}

/** Reads the job page by page and returns the items whose results were read. */
private suspend fun JobServices.readAll(): List<String> {
    val read = mutableListOf<String>()
    var refusals = 0
    while (read.size < ITEMS && refusals < 100) {
        val answered = answerWithResults(id, team, read.size, Duration.ZERO) { page ->
            page.next shouldBe read.size + page.results.size
            read += page.results.map { it.item }
        }
        if (answered.isLeft()) refusals++
    }
    return read
}

private suspend fun withJob(use: suspend (JobServices) -> Unit) = TestHost(fleetMember("host-1")).use { host ->
    host.setView(listOf(fleetMember("host-1")), emptyList())
    val services = JobHost(host, limits).services
    services.storeLargeJob()
    use(services)
}

class ReadJobSpec : DescribeSpec({
    describe("results that are larger than the memory for them") {
        // Guards against a heap that is full of the results of old jobs that callers read again.
        it("are read whole by $CALLERS callers at once, of which few hold a page at a time") {
            withJob { services ->
                val most = AtomicLong()
                coroutineScope {
                    val watch = async {
                        while (true) {
                            most.accumulateAndGet(services.memory.answerBytes, ::maxOf)
                            delay(1.milliseconds)
                        }
                    }
                    List(CALLERS) { async { services.readAll() } }.awaitAll().forEach { read ->
                        read shouldBe List(ITEMS) { "item-$it" }
                    }
                    watch.cancel()
                }
                // A page may turn out to be larger than was reserved for it.
                (most.get() <= 2 * ANSWER_BYTES) shouldBe true
                (services.cache.usedBytes <= limits.cached) shouldBe true
                services.memory.answerBytes shouldBe 0
            }
        }

        // Guards against callers that wait until their deadline for memory which slow readers hold.
        it("are refused in time while slow readers hold the memory, and read once they are gone") {
            withJob { services ->
                val release = CompletableDeferred<Unit>()
                val holding = AtomicInteger()
                coroutineScope {
                    val slow = List(4) {
                        async {
                            services.answerWithResults(id, team, 0, Duration.ZERO) {
                                holding.incrementAndGet()
                                release.await()
                            }
                        }
                    }
                    while (holding.get() == 0) delay(5.milliseconds)
                    val refused = services.answerWithResults(id, team, 0, Duration.ZERO) { error("no room") }
                    refused.leftOrNull().shouldBeInstanceOf<Refusal.Overloaded>()
                    release.complete(Unit)
                    slow.awaitAll()
                }
                services.readAll().size shouldBe ITEMS
            }
        }

        it("take no memory while there are none to be read") {
            withJob { services ->
                val pages = mutableListOf<ResultPage>()
                services.answerWithResults(id, team, ITEMS, Duration.ZERO) {
                    services.memory.answerBytes shouldBe 0
                    pages += it
                }
                pages shouldBe listOf(ResultPage(ITEMS, emptyList(), ITEMS))
            }
        }
    }
})
