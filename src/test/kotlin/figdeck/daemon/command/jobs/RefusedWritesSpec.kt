package figdeck.daemon.command.jobs

import figdeck.daemon.command.FaultInjector
import figdeck.daemon.command.MemoryBackends
import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.RelayResult
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.http.HttpBody
import figdeck.http.newHeaders
import figdeck.model.CallResult
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.serving.OutputRunId
import figdeck.model.serving.noProgress
import figdeck.model.valueOrNull
import figdeck.platform.encodeTransaction
import figdeck.store.Store
import figdeck.store.command.sentBytes
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.flow.flow
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

private const val MAX_CALL_ENTRIES = 100
private const val MAX_CALL_BYTES = 1_000_000
private const val MAX_VALUE_BYTES = 65_536
private const val EVENT_CHARACTERS = 400
private const val ROW_MARGIN_BYTES = 400

/** Characters that take 1, 2, 3, 4 and, escaped, 6 bytes. */
private val characters = mapOf(
    "a" to "a",
    "é" to "é",
    "three bytes" to "字",
    "four bytes" to "🙂",
    "escaped" to "\u0001"
)

/** A store that refuses calls as the platform's does, and keeps the sizes of all calls. */
internal class LimitedStore(private val isRefused: (TableTransaction) -> Boolean = { false }) {
    val refused = CopyOnWriteArrayList<Int>()

    /** Whether the store does nothing at present. */
    @Volatile
    var isDown = false
    private val backend = MemoryBackends().platform(FaultInjector(null))
    val store: Store = backend.copy(
        commands = backend.commands.copy(
            commit = { transaction ->
                val bytes = encodeTransaction(transaction).encodeToByteArray().size
                val entries = transaction.checks.size + transaction.writes.size
                val isLong = transaction.writes.any { it.value.orEmpty().encodeToByteArray().size > MAX_VALUE_BYTES }
                val isLarge = isLong || bytes > MAX_CALL_BYTES || entries > MAX_CALL_ENTRIES
                when {
                    isDown -> CallResult.NotDone("the store answered 503")
                    isLarge || isRefused(transaction) -> {
                        refused += bytes
                        CallResult.Refused("the store answered 413")
                    }
                    else -> backend.commands.commit(transaction)
                }
            },
        ),
    )
}

/** An output that is as long as an output may be: collects events of [character] until no more are taken. */
private suspend fun longestOutput(character: String): ItemOutput {
    val output = ItemOutput(noProgress)
    var events = 1L
    var size = 1
    while (size > 0) {
        val data = character.repeat(EVENT_CHARACTERS)
        val reply = UpstreamReply(
            ExecutionStatus.RAN,
            200,
            newHeaders(),
            HttpBody(flow { repeat(size) { emit("id: ${events + it}\ndata: $data\n\n".encodeToByteArray()) } }),
            isDelimited = true,
        )
        val isTaken = output.collect(reply, 2.seconds, { Moment(0, 0) }) == RelayResult.Complete
        events += if (isTaken) size else 0
        size = if (isTaken) size * 2 else size / 2
    }
    return output
}

class RefusedWritesSpec : DescribeSpec({
    val id = JobId("job-1")
    val owner = JobOwner(HostId("host-1"), "i")
    val newRecord = JobRecord(id, TeamId("t"), "r", 0, 1, 1, 0, false, owner, 0, "w")

    describe("a store that takes 100 entries and 1 MB, as sent, in one call") {
        characters.forEach { (name, character) ->
            it("takes the longest output of an item in one write: $name") {
                val limited = LimitedStore()
                val jobs = JobStore(limited.store)
                val output = longestOutput(character).text
                val rows = jobs.resultRowWrites(id, 0, listOf(JobResult("item", isComplete = true, output = output)))
                val reply = limited.store.commands.commit(TableTransaction(emptyList(), rows))
                reply.shouldBeInstanceOf<CallResult.Done<*>>()
                jobs.readResults(id, 0).valueOrNull()?.map { it.output } shouldBe listOf(output)
            }

            it("refuses no write of unfinished outputs, and all are saved: $name") {
                val limited = LimitedStore()
                val progress = ProgressStore(limited.store)
                val checkpointer = ProgressCheckpointer(progress, id, OutputRunId("run-1"), emptyMap())
                val outputs = (0 until 48).map { checkpointer.trackOutput(it) }
                val data = character.repeat(3_000)
                val reply = { first: Int ->
                    val chunks = flow {
                        repeat(4) { emit("id: ${first + it}\ndata: $data\n\n".encodeToByteArray()) }
                    }
                    UpstreamReply(ExecutionStatus.RAN, 200, newHeaders(), HttpBody(chunks), isDelimited = true)
                }
                outputs.forEach { it.collect(reply(1), 2.seconds, { Moment(0, 0) }) }
                repeat(30) { checkpointer.checkpoint() }
                limited.refused.size shouldBe 0
                progress.read(id).valueOrNull()?.values?.map { it.progress.events.size } shouldBe List(48) { 4 }
            }

            it("takes the items of a submission: $name") {
                val limited = LimitedStore()
                val header = character.repeat(150_000)
                val items = listOf(JobItem("item", "/notes/1", mapOf("X" to header, "Y" to header), ByteArray(0), 1))
                JobStore(limited.store).create(newRecord, items).shouldBeInstanceOf<RecordWrite.Written>()
            }
        }
    }

    describe("the size of a transaction that is counted before it is sent") {
        characters.forEach { (name, character) ->
            it("is at least the size as sent, and not much more: $name") {
                (1..60).forEach { count ->
                    val writes = List(count) { RowWrite("jobresult/$id/$it", character.repeat(count * 100)) }
                    val transaction = TableTransaction(listOf(RowCheck("job/$id", 1)), writes)
                    val sent = encodeTransaction(transaction).encodeToByteArray().size
                    sent shouldBeLessThanOrEqual transaction.sentBytes
                    transaction.sentBytes shouldBeLessThanOrEqual sent * 3 / 2 + count * ROW_MARGIN_BYTES
                }
            }
        }
    }
})
