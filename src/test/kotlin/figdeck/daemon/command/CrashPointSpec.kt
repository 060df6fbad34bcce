package figdeck.daemon.command

import arrow.core.Either
import figdeck.command.journal.journalKey
import figdeck.model.HostId
import figdeck.model.JournalOwner
import figdeck.model.MayHaveRun
import figdeck.model.Message
import figdeck.model.ModelName
import figdeck.model.Outcome
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RouteName
import figdeck.model.Template
import figdeck.model.Work
import figdeck.model.hashKey
import figdeck.model.template
import figdeck.process.eventually
import figdeck.query.RouteAccess
import figdeck.wire.decodeRecord
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlin.time.Duration.Companion.seconds

/** A request takes more effects: claiming the journal takes three; accepting, sending and ending take one each. */
private const val MIN_EFFECTS = 5

private val demoTemplate: Template = template("evening") {
    upstream("engine-1") {
        address = "127.0.0.1:1"
        dataCentre = "centre-a"
    }
    upstream("slots-1") {
        address = "127.0.0.1:2"
        dataCentre = "centre-a"
        kind = "service"
    }
    model("walks") { upstreams = listOf("engine-1") }
    route("slots") { upstreams = listOf("slots-1") }
    team("stado") {
        key("desk", hashKey("stado-key").hex)
        models = listOf("walks")
        routes = listOf("slots")
    }
}.fold({ error(it.joinToString()) }, { it })

private val team = demoTemplate.teams.single()
private val slotCheck = AuthorizedCall(
    RouteAccess(demoTemplate.routes.single(), team),
    Work.ServiceCall(RouteName("slots"), "POST", "/check", "text/plain", "herd 1", idempotent = false),
    idempotencyKey = null,
)
private val chatTurn = AuthorizedChat(
    team,
    demoTemplate.models.single(),
    Work.Chat(ModelName("walks"), listOf(Message("user", "Any slot?")), maxTokens = 5, stream = false),
    idempotencyKey = null,
)

/** What a caller observed of its request. [accepted] and [result] are null if the host was lost before. */
private data class CallerView(
    val id: RequestId,
    val accepted: Either<Refusal, RequestId>?,
    val result: Either<Refusal, Any>?,
)

private typealias StartWork = suspend Services.() -> Either<Refusal, RunningWork<out Any>>

private val startWork = mapOf<String, StartWork>(
    "a slot check" to { startCall(slotCheck) },
    "a chat turn" to { startChat(chatTurn) }
)

/**
 * Serves one request at a host with [fault] until the request is answered or the host is lost. Returns what the caller
 * observed, or null if the host did not claim its journal, and the number of effects.
 */
private suspend fun serveOne(backends: MemoryBackends, fault: Fault?, start: StartWork): Pair<CallerView?, Int> =
    MemoryHost(backends, "host-1", demoTemplate, fault).use { host ->
        host.start()
        eventually(5.seconds) { host.holdsJournal || host.faults.crashed.isCompleted }
        if (!host.holdsJournal) {
            return null to host.faults.effectCount
        }
        val work = host.services.start().fold({ error(it.message) }, { it })
        coroutineScope {
            val ended = async { work.awaitResult() }
            select {
                ended.onAwait {}
                host.faults.crashed.onAwait {}
            }
            ended.cancel()
        }
        val accepted = if (work.accepted.isCompleted) work.accepted.await() else null
        val result = if (work.result.isCompleted) work.result.await() else null
        CallerView(work.id, accepted, result) to host.faults.effectCount
    }

/** Returns the number of effects of serving one request without a fault. */
private suspend fun effectsOf(start: StartWork): Int =
    serveOne(MemoryBackends(), null, start).second.also { it shouldBeGreaterThan MIN_EFFECTS }

/**
 * Recovers the requests of the lost host "host-1" at a host with [fault], and then at a third host in case the second
 * is lost too. Returns the number of effects of the second host.
 */
private suspend fun recoverAll(backends: MemoryBackends, fault: Fault?): Int {
    val seen = MemoryHost(backends, "host-2", demoTemplate, fault).use { host ->
        host.start("host-1")
        eventually(5.seconds) { backends.isSettled("host-1") || host.faults.crashed.isCompleted }
        host.faults.effectCount
    }
    MemoryHost(backends, "host-3", demoTemplate).use { host ->
        host.start("host-1", "host-2")
        eventually(5.seconds) { backends.isSettled("host-1") && backends.isSettled("host-2") }
    }
    return seen
}

/** Compares what the caller observed with the stored records and with the number of sends to the upstream. */
private fun verify(backends: MemoryBackends, seen: CallerView?, repeatable: Boolean) {
    backends.rowsUnder("open/") shouldBe emptyList()
    val records = backends.rowsUnder("request/").map { decodeRecord(backends.rows.getValue(it)) }
    seen?.accepted?.fold(
        { if (it.ran == MayHaveRun.NO) records.size shouldBe 0 },
        { id -> records.map { it.id } shouldBe listOf(id) },
    )
    records.forEach { record ->
        val times = backends.timesSent(record.id)
        if (!repeatable) (times <= 1) shouldBe true
        when (val outcome = record.outcome) {
            null -> error("the record of ${record.id} has no outcome")
            is Outcome.Failed -> if (outcome.refusal.ran == MayHaveRun.NO) times shouldBe 0
            is Outcome.ChatAnswered -> outcome.content shouldBe "the answer"
            is Outcome.CallAnswered -> outcome.body shouldBe "free"
        }
        seen?.result?.onRight { (record.outcome is Outcome.Failed) shouldBe false }
    }
    if (records.isEmpty()) backends.sendCounts.size shouldBe 0
}

class CrashPointSpec : DescribeSpec({
    startWork.forEach { (name, start) ->
        val repeatable = name == "a chat turn"

        describe(name) {
            it("ends once if the host crashes before or after any effect") {
                val effects = effectsOf(start)
                for (effect in 0 until effects) {
                    for (afterEffect in listOf(false, true)) {
                        val backends = MemoryBackends()
                        val fault = Fault.Crash(effect, afterEffect)
                        val seen = serveOne(backends, fault, start).first
                        recoverAll(backends, null)
                        withClue(fault) { verify(backends, seen, repeatable) }
                    }
                }
            }

            it("ends once if its host and then the recovering host crash before or after any effect") {
                val effects = effectsOf(start)
                for (first in 0 until effects * 2) {
                    val crash = Fault.Crash(first / 2, afterEffect = first % 2 == 1)
                    var second = 0
                    var more = true
                    while (more) {
                        val backends = MemoryBackends()
                        val recoveryCrash = Fault.Crash(second / 2, afterEffect = second % 2 == 1)
                        val seen = serveOne(backends, crash, start).first
                        more = recoverAll(backends, recoveryCrash) > second / 2
                        withClue("$crash, then $recoveryCrash") { verify(backends, seen, repeatable) }
                        second++
                    }
                }
            }

            it("ends once if any reply is lost, before or after the effect") {
                val effects = effectsOf(start)
                for (effect in 0 until effects) {
                    for (afterEffect in listOf(false, true)) {
                        val backends = MemoryBackends()
                        val fault = Fault.LostReply(effect, afterEffect)
                        val seen = serveOne(backends, fault, start).first
                        recoverAll(backends, null)
                        withClue(fault) { verify(backends, seen, repeatable) }
                    }
                }
            }
        }
    }

    describe("two hosts that claim a journal concurrently") {
        it("have one winner") {
            val backends = MemoryBackends()
            val platform = backends.platform(FaultInjector(null))
            val host = HostId("host-1")
            claimJournal(platform, host, JournalOwner(host, "a"))
            val rows = platform.queries.readRow(journalKey(host)) as figdeck.model.CallResult.Done
            val claims = listOf("host-2", "host-3").map { rival ->
                replaceOwner(platform, host, rows.value.value, JournalOwner(HostId(rival), rival))
            }
            claims.map { it.isRight() } shouldBe listOf(true, false)
        }
    }
})
