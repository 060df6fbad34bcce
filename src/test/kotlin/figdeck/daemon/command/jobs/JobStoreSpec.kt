package figdeck.daemon.command.jobs

import figdeck.daemon.command.FaultInjector
import figdeck.daemon.command.MemoryBackends
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.serving.JobId
import figdeck.model.serving.JobResult
import figdeck.model.valueOrNull
import figdeck.wire.serving.resultWrites
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class JobStoreSpec : DescribeSpec({
    describe("three stored results, the second of which can't be decoded") {
        // Guards against results that move to another position because one before them was left out.
        it("are read up to the one before it") {
            val store = MemoryBackends().platform(FaultInjector(null))
            val jobs = JobStore(store)
            val id = JobId("job-1")
            val results = (1..3).map { JobResult("item-$it", isComplete = true, output = "word") }
            val damaged = RowWrite(resultWrites(id, 1, results[1]).single().key, "not JSON")
            val rows = jobs.resultRowWrites(id, 0, results).filter { it.key != damaged.key } + damaged
            store.commands.commit(TableTransaction(emptyList(), rows))
            jobs.readResults(id, 0).valueOrNull() shouldBe results.take(1)
            jobs.readResults(id, 2).valueOrNull() shouldBe results.drop(2)
        }
    }
})
