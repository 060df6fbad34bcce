package figdeck.daemon.command.jobs

import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val BODY_BYTES = 10_000

private fun itemsOf(job: Int, bytes: Int = BODY_BYTES) =
    listOf(JobItem("item-$job", "/notes/1", emptyMap(), ByteArray(bytes), 10))

class JobCacheSpec : DescribeSpec({
    describe("a cache of 25 KB") {
        it("keeps the latest two of three jobs of 10 KB") {
            val cache = JobCache(maxItemBytes = 25_000)
            (1..3).forEach { cache.putItems(JobId("job-$it"), itemsOf(it)) }
            (1..3).map { cache.items(JobId("job-$it")) != null } shouldBe listOf(false, true, true)
        }

        it("keeps no job that is larger than itself, and others after it") {
            val cache = JobCache(maxItemBytes = 25_000)
            cache.putItems(JobId("large"), itemsOf(1, bytes = 30_000))
            cache.items(JobId("large")) shouldBe null
            cache.putItems(JobId("small"), itemsOf(2))
            (cache.items(JobId("small")) != null) shouldBe true
        }

        it("counts a job that is put twice once") {
            val cache = JobCache(maxItemBytes = 25_000)
            cache.putItems(JobId("job-1"), itemsOf(1))
            repeat(2) { cache.putItems(JobId("job-2"), itemsOf(2)) }
            (cache.items(JobId("job-1")) != null) shouldBe true
        }
    }
})
