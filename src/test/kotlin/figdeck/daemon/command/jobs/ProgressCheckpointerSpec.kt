package figdeck.daemon.command.jobs

import figdeck.daemon.command.FaultInjector
import figdeck.daemon.command.MemoryBackends
import figdeck.daemon.command.serving.ExecutionStatus
import figdeck.daemon.command.serving.UpstreamReply
import figdeck.http.HttpBody
import figdeck.http.newHeaders
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Moment
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.serving.JobId
import figdeck.model.serving.OutputRunId
import figdeck.store.Store
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.flow.asFlow
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val SEEDS = 500
private const val STEPS = 60
private const val MAX_EVENTS_AT_ONCE = 4
private const val FIRST_ID = 7L
private const val POSITION = 0
private val id = JobId("job-1")

/** The chances of a write, added up, in percent: applied, not done, its reply lost; else it is applied later. */
private const val APPLIED = 60
private const val NOT_DONE = 75
private const val REPLY_LOST = 85

private fun newTable(): Store = MemoryBackends().platform(FaultInjector(null))

/** A store that loses writes and replies, and holds writes back, as [random] has it. */
private class FaultyStore(private val random: Random) {
    val table = newTable()
    val late = mutableListOf<TableTransaction>()
    val store = table.copy(commands = table.commands.copy(commit = ::commit))

    suspend fun applyLate() {
        if (late.isNotEmpty()) table.commands.commit(late.removeAt(random.nextInt(late.size)))
    }

    private suspend fun commit(transaction: TableTransaction): CallResult<CommitReply> {
        val chance = random.nextInt(100)
        return when {
            chance < APPLIED -> table.commands.commit(transaction)
            chance < NOT_DONE -> CallResult.NotDone("refused")
            else -> {
                if (chance < REPLY_LOST) table.commands.commit(transaction) else late += transaction
                CallResult.Unknown("no reply")
            }
        }
    }
}

/** An owner of the job that runs its one item. Its events differ from those of every other owner. */
private class Owner(
    val name: String,
    store: Store,
    saved: Map<Int, SavedOutput>,
) {
    val checkpointer = ProgressCheckpointer(ProgressStore(store), id, OutputRunId(name), saved)
    val output = checkpointer.trackOutput(POSITION)
    val events: List<String> get() = output.progress.events

    suspend fun generate(count: Int) {
        val next = output.progress.lastEventId?.plus(1) ?: FIRST_ID
        val chunks = List(count) { i -> "id: ${next + i}\ndata: $name ${next + i}\n\n".encodeToByteArray() }.asFlow()
        val reply = UpstreamReply(ExecutionStatus.RAN, 200, newHeaders(), HttpBody(chunks), isDelimited = true)
        output.collect(reply, 2.seconds, { Moment(0, 0) })
    }
}

private suspend fun Store.savedOutputs(): Map<Int, SavedOutput> =
    (ProgressStore(this).read(id) as CallResult.Done).value

private suspend fun Store.savedEvents(): List<String> = savedOutputs()[POSITION]?.progress?.events.orEmpty()

private suspend fun Store.newOwner(name: String): Owner = Owner(name, this, savedOutputs())

/** One item whose owners take over from each other while earlier ones go on. */
private class TakeOvers(seed: Int) {
    private val random = Random(seed)
    private val faulty = FaultyStore(random)
    private val owners = mutableListOf<Owner>()

    /** The number of events from which an owner resumed. */
    var resumedEvents = 0
        private set

    /** Whether each output that was read is the beginning of the output of one owner. */
    suspend fun keepOutputsApart(): Boolean {
        owners += faulty.store.newOwner("owner-0")
        return (1..STEPS).all { step() }
    }

    private suspend fun step(): Boolean {
        val owner = owners.random(random)
        when (random.nextInt(20)) {
            in 0..8 -> owner.generate(random.nextInt(1, MAX_EVENTS_AT_ONCE + 1))
            in 9..14 -> owner.checkpointer.checkpoint()
            in 15..16 -> faulty.applyLate()
            17 -> if (random.nextInt(4) == 0) owner.checkpointer.discard(POSITION)
            else -> return takeOver()
        }
        return true
    }

    private suspend fun takeOver(): Boolean {
        val couldRead = random.nextInt(4) > 0
        val name = "owner-${owners.size}"
        val next = if (couldRead) faulty.store.newOwner(name) else Owner(name, faulty.store, emptyMap())
        val isOneOutput = owners.any { it.events.take(next.events.size) == next.events }
        resumedEvents += next.events.size
        owners += next
        return isOneOutput
    }
}

class ProgressCheckpointerSpec : DescribeSpec({
    // Guards against an item whose text goes on with events of a run that did not continue it.
    describe("an item that several owners run at once") {
        it("is read as the beginning of one owner's output, $SEEDS seeds with lost and late writes") {
            val runs = (0 until SEEDS).map { TakeOvers(it) }
            val failedSeeds = runs.indices.filterNot { runs[it].keepOutputsApart() }
            failedSeeds.shouldBeEmpty()
            runs.count { it.resumedEvents > 0 } shouldBeGreaterThan SEEDS / 2
        }

        it("is read as the longest of the outputs, whichever is written last") {
            val store = newTable()
            val stale = store.newOwner("stale")
            stale.generate(2)
            stale.checkpointer.checkpoint()
            val heir = store.newOwner("heir")
            heir.generate(2)
            stale.generate(1)
            heir.checkpointer.checkpoint()
            stale.checkpointer.checkpoint()
            store.savedEvents() shouldContainExactly heir.events
            stale.generate(3)
            stale.checkpointer.checkpoint()
            store.savedEvents() shouldContainExactly stale.events
        }

        it("goes on at a third owner from the output that it read") {
            val store = newTable()
            val first = store.newOwner("first")
            first.generate(3)
            first.checkpointer.checkpoint()
            val second = store.newOwner("second")
            second.generate(2)
            second.checkpointer.checkpoint()
            first.generate(1)
            first.checkpointer.checkpoint()
            val third = store.newOwner("third")
            third.generate(2)
            third.checkpointer.checkpoint()
            store.savedEvents() shouldContainExactly third.events
            third.events.take(5) shouldBe second.events
        }
    }

    // Guards against the same where owners follow each other: those that can't read the rows restart the item.
    describe("an item whose second owner could not read its output and restarted it") {
        it("is read as the output of one of them") {
            val store = newTable()
            val first = store.newOwner("first")
            repeat(2) {
                first.generate(2)
                first.checkpointer.checkpoint()
            }
            val second = Owner("second", store, emptyMap())
            listOf(1, 2).forEach { count ->
                second.generate(count)
                second.checkpointer.checkpoint()
            }
            store.savedEvents() shouldContainExactly first.events
        }
    }

    describe("the rows of an item that several owners have saved") {
        it("are removed when the last owner has its result") {
            val store = newTable()
            val owners = listOf("first", "second").map { store.newOwner(it) }
            owners.forEach {
                it.generate(2)
                it.checkpointer.checkpoint()
            }
            val last = store.newOwner("last")
            last.generate(1)
            last.checkpointer.checkpoint()
            last.checkpointer.discard(POSITION)
            last.checkpointer.checkpoint()
            store.savedOutputs().keys.shouldBeEmpty()
        }

        it("start no output when an earlier owner writes more after their removal") {
            val store = newTable()
            val stale = store.newOwner("stale")
            stale.generate(2)
            stale.checkpointer.checkpoint()
            val heir = store.newOwner("heir")
            heir.checkpointer.discard(POSITION)
            heir.checkpointer.checkpoint()
            stale.generate(2)
            stale.checkpointer.checkpoint()
            store.savedEvents().shouldBeEmpty()
        }
    }

    // Guards against joining rows whose run is unknown while hosts of two versions run.
    describe("rows that an earlier version has saved") {
        it("are not read, so the item restarts") {
            val store = newTable()
            val row = RowWrite(
                "jobprogress/$id/00000/00000",
                """{"start":0,"firstId":1,"events":["one"]}""",
            )
            store.commands.commit(TableTransaction(emptyList(), listOf(row)))
            store.savedOutputs().keys.shouldBeEmpty()
        }
    }
})
