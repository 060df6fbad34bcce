package figdeck.daemon.command.jobs

import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobResult
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val BODY_BYTES = 10_000

private fun itemsOf(job: Int, bytes: Int = BODY_BYTES) =
    listOf(JobItem("item-$job", "/notes/1", emptyMap(), ByteArray(bytes), 10))

class JobCacheSpec : DescribeSpec({
    describe("a cache of 25 KB") {
        it("keeps the latest two of three jobs of 10 KB") {
            val cache = JobCache(maxBytes = 25_000)
            (1..3).forEach { cache.putItems(JobId("job-$it"), itemsOf(it)) }
            (1..3).map { cache.items(JobId("job-$it")) != null } shouldBe listOf(false, true, true)
        }

        it("keeps no job that is larger than itself, and others after it") {
            val cache = JobCache(maxBytes = 25_000)
            cache.putItems(JobId("large"), itemsOf(1, bytes = 30_000))
            cache.items(JobId("large")) shouldBe null
            cache.putItems(JobId("small"), itemsOf(2))
            (cache.items(JobId("small")) != null) shouldBe true
        }

        // Guards against a heap that is full of the results of large jobs.
        it("keeps items and results together within its bytes, and those that were used last") {
            val cache = JobCache(maxBytes = 25_000)
            cache.putItems(JobId("job-1"), itemsOf(1))
            val results = List(8) { JobResult("item-$it", isComplete = true, output = "x".repeat(1_500)) }
            cache.putResults(JobId("job-2"), 3, results.take(4))
            (cache.items(JobId("job-1")) != null) shouldBe true
            cache.putResults(JobId("job-2"), 7, results.drop(4))
            (cache.items(JobId("job-1")) != null) shouldBe true
            (0..11).filter { cache.result(JobId("job-2"), it) != null } shouldBe listOf(7, 8, 9, 10)
            (cache.usedBytes <= 25_000) shouldBe true
        }

        it("counts a job that is put twice once") {
            val cache = JobCache(maxBytes = 25_000)
            cache.putItems(JobId("job-1"), itemsOf(1))
            repeat(2) { cache.putItems(JobId("job-2"), itemsOf(2)) }
            (cache.items(JobId("job-1")) != null) shouldBe true
        }
    }
})
