package figdeck.daemon.command.jobs

import figdeck.command.serving.VersionedJob
import figdeck.command.serving.applyScan
import figdeck.control.serving.updateFleet
import figdeck.daemon.command.Fault
import figdeck.daemon.command.FaultInjector
import figdeck.daemon.command.MemoryBackends
import figdeck.daemon.command.serving.TestHost
import figdeck.daemon.command.serving.fleetMember
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.HostId
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.TeamId
import figdeck.model.serving.FleetScan
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.model.serving.JobOwner
import figdeck.model.serving.JobRecord
import figdeck.model.serving.JobResult
import figdeck.model.systemClock
import figdeck.process.eventually
import figdeck.wire.serving.encodeFleetMember
import figdeck.wire.serving.itemKeyPrefix
import figdeck.wire.serving.memberKey
import figdeck.wire.serving.progressKeyPrefix
import figdeck.wire.serving.resultKeyPrefix
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeout
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val ITEMS = 60
private const val OUTPUT_CHARACTERS = 40_000
private val healthy get() = FaultInjector(null)

private fun record(name: String, total: Int) = JobRecord(
    id = JobId(name),
    team = TeamId("walkers"),
    route = "notes",
    submittedAtMillis = 0,
    total = total,
    tokens = 0,
    results = 0,
    isEnded = false,
    owner = JobOwner(HostId("host-1"), "1"),
    chunks = 0,
    writeId = "w-$name",
)

/** Stores a job with results for [listed] of its items, each of several rows, and some unfinished output. */
private suspend fun MemoryBackends.storeJob(name: String, total: Int = ITEMS, listed: Int = total): VersionedJob {
    val store = platform(healthy)
    val jobs = JobStore(store)
    val items = List(total) { JobItem("$name-item-$it", "/notes/1", emptyMap(), ByteArray(10), 1) }
    var job = (jobs.create(record(name, total), items) as RecordWrite.Written).job
    repeat(listed) { position ->
        val result = JobResult(items[position].id, isComplete = true, output = "x".repeat(OUTPUT_CHARACTERS))
        val rows = jobs.resultRowWrites(job.record.id, position, listOf(result))
        val next = job.record.copy(results = position + 1, writeId = "w-$name-$position")
        job = (jobs.write(next, job.version, rows) as RecordWrite.Written).job
    }
    val leftOver = RowWrite("${progressKeyPrefix(job.record.id)}00000/00000/run", "{}")
    store.commands.commit(TableTransaction(emptyList(), listOf(leftOver)))
    return job
}

private fun MemoryBackends.rowsOf(name: String): List<String> {
    val id = JobId(name)
    val prefixes = listOf(itemKeyPrefix(id), resultKeyPrefix(id), progressKeyPrefix(id))
    return rows.keys.filter { key -> key == "job/$name" || prefixes.any { key.startsWith(it) } }
}

/** Clearing that keeps closed jobs for a second, and counts those that it has deleted. */
private fun MemoryBackends.clearing(count: AtomicInteger = AtomicInteger()) = JobClearing(
    feed = feed(healthy),
    store = platform(healthy),
    keep = 1.seconds,
    passInterval = 50.milliseconds,
    countCleared = { count.incrementAndGet() },
)

/** Deletes [job] with [fault] injected; null if the host is lost on the way. */
private suspend fun MemoryBackends.deleteWith(fault: Fault, job: VersionedJob): DeletionOutcome? {
    val faults = FaultInjector(fault)
    val scope = CoroutineScope(Dispatchers.Default)
    var outcome: DeletionOutcome? = null
    val deletion = scope.launch { outcome = platform(faults).deleteJob(job).outcome }
    select {
        deletion.onJoin {}
        faults.crashed.onAwait {}
    }
    deletion.cancelAndJoin()
    return outcome
}

class ClearJobsSpec : DescribeSpec({
    describe("the deletion of a job") {
        it("leaves nothing of it, and everything of others") {
            val backends = MemoryBackends()
            val job = backends.storeJob("job-1")
            backends.storeJob("job-10", total = 2)
            val others = backends.rowsOf("job-10")
            backends.platform(healthy).deleteJob(job).outcome shouldBe DeletionOutcome.DONE
            backends.rowsOf("job-1") shouldBe emptyList()
            backends.rows.keys shouldBe others.toSet()
        }

        // Guards against rows that nothing names any more, and against a deletion that never ends.
        it("can be repeated after a host is lost, or a reply, at each of its effects") {
            val effects = FaultInjector(null)
            val counted = MemoryBackends()
            val first = counted.storeJob("job-1")
            counted.platform(effects).deleteJob(first)
            val faults = (0 until effects.effectCount).flatMap { effect ->
                listOf(false, true).flatMap { listOf(Fault.Crash(effect, it), Fault.LostReply(effect, it)) }
            }
            for (fault in faults) {
                withClue(fault) {
                    val backends = MemoryBackends()
                    val job = backends.storeJob("job-1")
                    backends.deleteWith(fault, job)
                    val left = backends.rowsOf("job-1")
                    (left.isEmpty() || "job/job-1" in left) shouldBe true
                    backends.platform(healthy).deleteJob(job)
                    backends.rowsOf("job-1") shouldBe emptyList()
                }
            }
        }

        it("has no effect on a job that has got another result, or that was submitted under the same id since") {
            val backends = MemoryBackends()
            val known = backends.storeJob("job-1", total = 3)
            backends.platform(healthy).deleteJob(known)
            backends.storeJob("job-1", total = 2)
            val before = backends.rows
            backends.platform(healthy).deleteJob(known).outcome shouldBe DeletionOutcome.SUPERSEDED
            backends.rows shouldBe before
        }

        it("has no effect twice if two hosts delete at the same time") {
            val backends = MemoryBackends()
            val job = backends.storeJob("job-1")
            val scope = CoroutineScope(Dispatchers.Default)
            val outcomes = ConcurrentLinkedQueue<DeletionOutcome>()
            List(2) { scope.launch { outcomes += backends.platform(healthy).deleteJob(job).outcome } }
                .forEach { it.join() }
            outcomes.count { it == DeletionOutcome.DONE } shouldBe 1
            backends.rowsOf("job-1") shouldBe emptyList()
        }
    }

    describe("a sweep") {
        // Guards against output that is saved late, of a job that is deleted, and stays for ever.
        it("removes the rows of jobs without a record, in pages, and no others") {
            val backends = MemoryBackends()
            val job = backends.storeJob("job-1", total = 2)
            backends.storeJob("job-2", total = 2, listed = 1)
            val kept = backends.rows.keys
            val late = List(50) { RowWrite("${progressKeyPrefix(JobId("gone-1"))}00000/0000$it/run", "{}") } +
                RowWrite("${resultKeyPrefix(JobId("job-10"))}00000/00000.1", "{}") +
                RowWrite("${itemKeyPrefix(JobId("a"))}00000", "{}")
            late.chunked(20).forEach {
                backends.platform(healthy).commands.commit(TableTransaction(emptyList(), it))
            }
            backends.clearing().sweepOrphans() shouldBe 52
            backends.rows.keys shouldBe kept
            backends.rowsOf(job.record.id.value).size shouldBe 9
        }

        // Guards against a sweep that never ends because the rows that it has found belong to a job again.
        it("ends at rows whose job has got a record meanwhile") {
            val backends = MemoryBackends()
            val late = RowWrite("${progressKeyPrefix(JobId("gone-1"))}00000/00000/run", "{}")
            backends.platform(healthy).commands.commit(TableTransaction(emptyList(), listOf(late)))
            val conflicting = backends.platform(healthy).let { store ->
                val conflict = CallResult.Done(CommitReply.Conflict(listOf("job/gone-1")))
                store.copy(commands = store.commands.copy(commit = { conflict }))
            }
            withTimeout(5.seconds) { backends.clearing().copy(store = conflicting).sweepOrphans() } shouldBe 0
        }

        // Guards against rows of hosts that each renewal of a lease reads, and against hosts that lose their lease.
        it("removes the rows of hosts that are gone for an hour, unless one has come back") {
            TestHost(fleetMember("host-1")).use { host ->
                val backends = MemoryBackends()
                val now = 5.hours.inWholeMilliseconds
                val listed = listOf("gone" to 1.hours, "back" to 1.hours, "away" to 59.minutes).map { (name, age) ->
                    fleetMember(name).copy(renewedAtMillis = now - age.inWholeMilliseconds)
                }
                val stored = listed.map { if (it.host.value == "back") it.copy(renewedAtMillis = now) else it }
                val writes = stored.map { RowWrite(memberKey(it.host.value), encodeFleetMember(it)) }
                backends.platform(healthy).commands.commit(TableTransaction(emptyList(), writes))
                host.control.run { state, _ ->
                    updateFleet(state) { applyScan(it, FleetScan(listed, now, systemClock())) }
                }
                backends.clearing().removeGoneHosts(host.control.snapshot) shouldBe listOf("gone")
                backends.rows.keys shouldBe setOf("member/back", "member/away")
            }
        }
    }

    describe("a host that clears jobs") {
        // Guards against open jobs, and results that are still owed, that are deleted with the old ones.
        it("deletes those that were closed long enough ago, and no others") {
            TestHost(fleetMember("host-1")).use { host ->
                val backends = MemoryBackends()
                backends.storeJob("closed-1", total = 2)
                backends.storeJob("open", total = 2, listed = 1)
                val open = backends.rowsOf("open")
                val services = JobHost(host).services
                host.setView(listOf(fleetMember("host-1")), emptyList())
                val count = AtomicInteger()
                val clearing = backends.clearing(count)
                val clears = CoroutineScope(Dispatchers.Default).launch { services.clearJobs(clearing) }
                delay(500.milliseconds)
                val young = backends.storeJob("closed-2", total = 2)
                eventually(20.seconds) { count.get() == 1 }
                backends.rowsOf("closed-1") shouldBe emptyList()
                val stored = JobStore(backends.platform(healthy)).read(young.record.id)
                (stored as CallResult.Done).value.shouldNotBeNull()
                // The next sample is some seconds later, and so is the deletion of the younger one.
                eventually(20.seconds) { count.get() == 2 }
                backends.rowsOf("closed-2") shouldBe emptyList()
                backends.rowsOf("open") shouldBe open
                clears.cancelAndJoin()
            }
        }
    }
})
