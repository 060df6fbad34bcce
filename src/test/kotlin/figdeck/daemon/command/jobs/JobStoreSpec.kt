package figdeck.daemon.command.jobs

import figdeck.daemon.command.FaultInjector
import figdeck.daemon.command.MemoryBackends
import figdeck.model.CallResult
import figdeck.model.HostId
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.valueOrNull
import figdeck.store.Store
import figdeck.store.query.Lookup
import figdeck.wire.serving.encodeJobItems
import figdeck.wire.serving.resultWrites
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val LARGE_BODY_BYTES = 900_000

private fun record(team: String, writeId: String) = JobRecord(
    id = JobId("job-1"),
    team = TeamId(team),
    route = "notes",
    submittedAtMillis = 0,
    total = 1,
    tokens = 1,
    results = 0,
    isEnded = false,
    owner = JobOwner(HostId("host-1"), "i1"),
    chunks = 0,
    writeId = writeId,
)

private fun largeItems(byte: Byte) =
    listOf(JobItem("item-1", "/notes/1", emptyMap(), ByteArray(LARGE_BODY_BYTES) { byte }, 1))

private fun storeWith(objects: MutableMap<String, ByteArray>): Store {
    val rows = MemoryBackends().platform(FaultInjector(null))
    return Store(
        rows.commands.copy(
            putObject = { key, bytes -> CallResult.Done(objects.put(key, bytes).let { }) },
            deleteObject = { key -> CallResult.Done(objects.remove(key).let { }) },
        ),
        rows.queries.copy(readObject = { key -> CallResult.Done(Lookup(objects[key])) }),
    )
}

class JobStoreSpec : DescribeSpec({
    describe("an accepted job whose items are too large for rows") {
        // Guards against a caller that replaces the items of another team's job by submitting a job with its id.
        it("keeps its items when another job is submitted with its id, and that one leaves no object") {
            val objects = mutableMapOf<String, ByteArray>()
            val jobs = JobStore(storeWith(objects))
            val created = jobs.create(record("stado", "w1"), largeItems(1))
            val accepted = created.shouldBeInstanceOf<RecordWrite.Written>()
            jobs.create(record("kurni", "w2"), largeItems(2)).shouldBeInstanceOf<RecordWrite.Superseded>()
            val items = jobs.readItems(accepted.job.record).getOrNull()
            items?.single()?.body?.toSet() shouldBe setOf<Byte>(1)
            objects.keys shouldBe setOf("jobitem-job-1-w1")
        }

        it("keeps its items when its submission is repeated after its owner stored a result") {
            val jobs = JobStore(storeWith(mutableMapOf()))
            val created = jobs.create(record("stado", "w1"), largeItems(1))
            val accepted = created.shouldBeInstanceOf<RecordWrite.Written>()
            jobs.write(accepted.job.record.copy(writeId = "w2"), accepted.job.version)
            jobs.create(record("stado", "w1"), largeItems(1)).shouldBeInstanceOf<RecordWrite.Superseded>()
            jobs.readItems(accepted.job.record).isRight() shouldBe true
        }

        it("is read from the object of its id alone if an earlier release accepted it") {
            val stored = encodeJobItems(largeItems(1)).encodeToByteArray()
            val jobs = JobStore(storeWith(mutableMapOf("jobitem-job-1" to stored)))
            jobs.readItems(record("stado", "w1")).isRight() shouldBe true
        }
    }

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
