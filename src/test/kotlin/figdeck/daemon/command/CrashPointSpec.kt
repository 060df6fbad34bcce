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

/** Claiming a journal takes three effects, accepting, sending and ending one each. */
private const val LEAST_EFFECTS = 5

private val slots: Template = template("evening") {
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

private val team = slots.teams.single()
private val check = CallOrder(
    RouteAccess(slots.routes.single(), team),
    Work.ServiceCall(RouteName("slots"), "POST", "/check", "text/plain", "herd 1", idempotent = false),
    resend = null,
)
private val turn = ChatOrder(
    team,
    slots.models.single(),
    Work.Chat(ModelName("walks"), listOf(Message("user", "Any slot?")), maxTokens = 5, stream = false),
    resend = null,
)

/** What a caller saw of its request: nothing of [accepted] or [result] if the host was lost before. */
private data class Seen(
    val id: RequestId,
    val accepted: Either<Refusal, RequestId>?,
    val result: Either<Refusal, Any>?,
)

private typealias Start = suspend Services.() -> Either<Refusal, RunningWork<out Any>>

private val starts = mapOf<String, Start>("a slot check" to { startCall(check) }, "a chat turn" to { startChat(turn) })

/** Serves one request at a host with [fault] until it is answered or the host is lost. */
private suspend fun serveOne(world: MemoryWorld, fault: Fault?, start: Start): Pair<Seen?, Int> =
    MemoryHost(world, "host-1", slots, fault).use { host ->
        host.start()
        eventually(5.seconds) { host.holdsJournal || host.effects.lost.isCompleted }
        if (!host.holdsJournal) {
            return null to host.effects.seen
        }
        val work = host.services.start().fold({ error(it.message) }, { it })
        coroutineScope {
            val ended = async { work.awaitResult() }
            select {
                ended.onAwait {}
                host.effects.lost.onAwait {}
            }
            ended.cancel()
        }
        val accepted = if (work.accepted.isCompleted) work.accepted.await() else null
        val result = if (work.result.isCompleted) work.result.await() else null
        Seen(work.id, accepted, result) to host.effects.seen
    }

/** The number of effects of serving one request without a fault. */
private suspend fun effectsOf(start: Start): Int =
    serveOne(MemoryWorld(), null, start).second.also { it shouldBeGreaterThan LEAST_EFFECTS }

/** Recovers what "host-1" left by a host with [fault], and by another if that is lost as well. */
private suspend fun recoverAll(world: MemoryWorld, fault: Fault?): Int {
    val seen = MemoryHost(world, "host-2", slots, fault).use { host ->
        host.start("host-1")
        eventually(5.seconds) { world.isSettled("host-1") || host.effects.lost.isCompleted }
        host.effects.seen
    }
    MemoryHost(world, "host-3", slots).use { host ->
        host.start("host-1", "host-2")
        eventually(5.seconds) { world.isSettled("host-1") && world.isSettled("host-2") }
    }
    return seen
}

/** Compares what the caller saw with what can be read and with what the upstream counted. */
private fun verify(world: MemoryWorld, seen: Seen?, repeatable: Boolean) {
    world.rowsUnder("open/") shouldBe emptyList()
    val records = world.rowsUnder("request/").map { decodeRecord(world.rows.getValue(it)) }
    seen?.accepted?.fold(
        { if (it.ran == MayHaveRun.NO) records.size shouldBe 0 },
        { id -> records.map { it.id } shouldBe listOf(id) },
    )
    records.forEach { record ->
        val times = world.timesSent(record.id)
        if (!repeatable) (times <= 1) shouldBe true
        when (val outcome = record.outcome) {
            null -> error("the record of ${record.id} has no outcome")
            is Outcome.Failed -> if (outcome.refusal.ran == MayHaveRun.NO) times shouldBe 0
            is Outcome.ChatAnswered -> outcome.content shouldBe "the answer"
            is Outcome.CallAnswered -> outcome.body shouldBe "free"
        }
        seen?.result?.onRight { (record.outcome is Outcome.Failed) shouldBe false }
    }
    if (records.isEmpty()) world.sent.size shouldBe 0
}

class CrashPointSpec : DescribeSpec({
    starts.forEach { (name, start) ->
        val repeatable = name == "a chat turn"

        describe(name) {
            it("ends once, whichever effect the host is lost before or after") {
                val effects = effectsOf(start)
                for (effect in 0 until effects) {
                    for (after in listOf(false, true)) {
                        val world = MemoryWorld()
                        val fault = Fault.Crash(effect, after)
                        val seen = serveOne(world, fault, start).first
                        recoverAll(world, null)
                        withClue(fault) { verify(world, seen, repeatable) }
                    }
                }
            }

            it("ends once, whichever effects its host and then the recovering host are lost before or after") {
                val effects = effectsOf(start)
                for (first in 0 until effects * 2) {
                    val crash = Fault.Crash(first / 2, after = first % 2 == 1)
                    var second = 0
                    var more = true
                    while (more) {
                        val world = MemoryWorld()
                        val recoveryCrash = Fault.Crash(second / 2, after = second % 2 == 1)
                        val seen = serveOne(world, crash, start).first
                        more = recoverAll(world, recoveryCrash) > second / 2
                        withClue("$crash, then $recoveryCrash") { verify(world, seen, repeatable) }
                        second++
                    }
                }
            }

            it("ends once, whichever reply is lost, before or after the effect") {
                val effects = effectsOf(start)
                for (effect in 0 until effects) {
                    for (after in listOf(false, true)) {
                        val world = MemoryWorld()
                        val fault = Fault.LostReply(effect, after)
                        val seen = serveOne(world, fault, start).first
                        recoverAll(world, null)
                        withClue(fault) { verify(world, seen, repeatable) }
                    }
                }
            }
        }
    }

    describe("two hosts that race for a journal") {
        it("leave it to one") {
            val world = MemoryWorld()
            val platform = world.platform(Effects(null))
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
