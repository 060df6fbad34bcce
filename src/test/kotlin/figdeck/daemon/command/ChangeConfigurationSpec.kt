package figdeck.daemon.command

import arrow.core.Either
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.stateOf
import figdeck.daemon.query.CHANGE_PREFIX
import figdeck.daemon.query.HEAD_KEY
import figdeck.daemon.query.catchUp
import figdeck.model.CallResult
import figdeck.model.ChangeId
import figdeck.model.CommitReply
import figdeck.model.ConfigurationChange
import figdeck.model.OperatorName
import figdeck.model.Revision
import figdeck.model.TableTransaction
import figdeck.model.TemplateEdit
import figdeck.model.systemClock
import figdeck.model.template
import figdeck.standin.commit
import figdeck.standin.emptyPlatform
import figdeck.standin.scan
import figdeck.store.Store
import figdeck.store.command.StoreCommands
import figdeck.store.query.Lookup
import figdeck.store.query.StoreQueries
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** An in-memory table. [fault] chooses the fault to inject by the number of the commit, which counts from 1. */
private class FakeTable(private val fault: (Int) -> WriteFault) {
    private var state = emptyPlatform
    private val commits = AtomicInteger()
    val platform = Store(
        StoreCommands(
            commit = { commitWithFault(it) },
            putObject = { key, bytes -> synchronized(this) { put(key, bytes) } },
            deleteObject = { CallResult.Done(Unit) },
        ),
        StoreQueries(
            readRow = { key -> synchronized(this) { CallResult.Done(Lookup(state.rows[key])) } },
            scanRows = { prefix, after, limit ->
                synchronized(this) { CallResult.Done(scan(state, prefix, after, limit)) }
            },
            readObject = { key -> synchronized(this) { CallResult.Done(Lookup(state.objects[key])) } },
            listHosts = { CallResult.Done(emptyList()) },
        ),
    )

    fun rows(prefix: String) = synchronized(this) { scan(state, prefix, "", 1_000) }

    fun objectKeys(): Set<String> = synchronized(this) { state.objects.keys }

    private fun put(key: String, bytes: ByteArray): CallResult<Unit> {
        state = state.copy(objects = state.objects.put(key, bytes))
        return CallResult.Done(Unit)
    }

    private fun commitWithFault(transaction: TableTransaction): CallResult<CommitReply> = synchronized(this) {
        val fault = fault(commits.incrementAndGet())
        if (fault == WriteFault.LOST_BEFORE) {
            return CallResult.Unknown("lost before the commit")
        }
        if (fault == WriteFault.OUTAGE) {
            return CallResult.NotDone("outage")
        }
        val step = commit(state, transaction)
        state = step.state
        return if (fault == WriteFault.LOST_AFTER) CallResult.Unknown("reply lost") else CallResult.Done(step.result)
    }
}

private enum class WriteFault { NONE, LOST_BEFORE, LOST_AFTER, OUTAGE }

private fun daemonOf(table: FakeTable, name: String): ConfigurationStore {
    val control: Control<ControlState> = Control(stateOf(name), systemClock)
    return ConfigurationStore(table.platform, control, systemClock)
}

private fun apply(id: String, expected: Long? = null): ChangeRequest {
    val built = template("t-$id") { retentionHours = 5 }.fold({ error(it.joinToString()) }, { it })
    return ChangeRequest(ChangeId(id), OperatorName("jana"), expected?.let { Revision(it) }, TemplateEdit.Apply(built))
}

private fun Either<ChangeFailure, ConfigurationChange>.revision(): Long? = getOrNull()?.revision?.value

class ChangeConfigurationSpec : DescribeSpec({
    describe("a lost reply") {
        it("is resolved as accepted, once, if the write took effect") {
            val table = FakeTable { if (it == 1) WriteFault.LOST_AFTER else WriteFault.NONE }
            daemonOf(table, "a").change(apply("one")).revision() shouldBe 1
            table.rows(CHANGE_PREFIX).map { it.key } shouldContainExactly listOf("configuration/change/000000000001")
        }

        it("is resolved by a retry if the write did not take effect") {
            val table = FakeTable { if (it == 1) WriteFault.LOST_BEFORE else WriteFault.NONE }
            daemonOf(table, "a").change(apply("one")).revision() shouldBe 1
            table.rows(HEAD_KEY).single().value shouldBe """{"revision":1,"snapshot":0}"""
        }

        it("is reported as unsettled if the table does not answer the retries") {
            val table = FakeTable { if (it == 1) WriteFault.LOST_AFTER else WriteFault.OUTAGE }
            daemonOf(table, "a").change(apply("one")).leftOrNull() shouldBe ChangeFailure.Unsettled(ChangeId("one"))
        }
    }

    describe("an unreachable table") {
        it("makes the change fail as not applied") {
            daemonOf(FakeTable { WriteFault.OUTAGE }, "a").change(apply("one")).leftOrNull() shouldBe
                ChangeFailure.Unavailable
        }
    }

    describe("a change sent twice under the same id") {
        it("is accepted once") {
            val daemon = daemonOf(FakeTable { WriteFault.NONE }, "a")
            daemon.change(apply("one")).revision() shouldBe 1
            daemon.change(apply("one")).revision() shouldBe 1
        }
    }

    describe("racing operators") {
        it("all succeed without an expected revision, each at a revision of its own") {
            val random = Random(11)
            val table = FakeTable { if (random.nextInt(4) == 0) WriteFault.LOST_AFTER else WriteFault.NONE }
            val daemons = listOf("a", "b", "c").map { daemonOf(table, it) }
            val revisions = coroutineScope {
                daemons.flatMapIndexed { d, daemon ->
                    List(4) { async(Dispatchers.Default) { daemon.change(apply("$d-$it")).revision() } }
                }.awaitAll()
            }
            revisions.filterNotNull().sorted() shouldBe (1L..12L).toList()
            daemons.forEach { catchUp(it.platform.queries, it.control, it.clock) }
            daemons.map { it.control.snapshot.configuration }.toSet().size shouldBe 1
        }

        it("that lose receive the changes since their expected revision") {
            val table = FakeTable { WriteFault.NONE }
            val (first, second) = listOf("a", "b").map { daemonOf(table, it) }
            first.change(apply("one", expected = 0)).revision() shouldBe 1
            val lost = second.change(apply("two", expected = 0)).leftOrNull()
            lost.shouldBeInstanceOf<ChangeFailure.Conflict>()
            lost.since.map { "${it.revision} ${it.operator}: ${it.summary}" } shouldBe
                listOf("1 jana: applied template t-one")
            table.rows(CHANGE_PREFIX).size shouldBe 1
        }
    }

    describe("a starting daemon") {
        it("reads the newest snapshot and the changes after it") {
            val table = FakeTable { WriteFault.NONE }
            val writer = daemonOf(table, "a")
            repeat(SNAPSHOT_INTERVAL + 3) {
                writer.change(apply("c$it"))
                writer.writeSnapshotIfDue()
            }
            table.objectKeys() shouldBe setOf("configuration/snapshot/64")
            val starting = daemonOf(table, "b")
            catchUp(starting.platform.queries, starting.control, systemClock)
            starting.control.snapshot.configuration shouldBe writer.control.snapshot.configuration
            starting.control.snapshot.follow.recent.size shouldBe 3
        }
    }
})
