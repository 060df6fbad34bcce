package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import figdeck.daemon.command.jobs.ItemOutput
import figdeck.http.HttpBody
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.LossCause
import figdeck.http.newHeaders
import figdeck.model.Refusal
import figdeck.model.serving.CallKind
import figdeck.model.serving.PoolName
import figdeck.model.serving.noProgress
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import figdeck.query.serving.RouteAccess
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.flow.flowOf
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

private val pool = PoolName("engines")
private val route = servingPlan {
    version = 1
    route("chat") {
        host = "desk.example"
        prefix = "/chat/"
        kind = CallKind.RESUMABLE_STREAM
        timeout = 5.seconds
        latencyObjective = 1.seconds
        maxAttempts = 2
        pool(pool.value)
    }
}.getOrElse { error(it.toString()) }.routes.single()

private fun event(id: Int) = "id: $id\ndata: word $id\n\n"

private fun reply(status: Int, body: String, isDelimited: Boolean = true) = UpstreamReply(
    ExecutionStatus.RAN,
    status,
    newHeaders(),
    HttpBody(if (body.isEmpty()) flowOf() else flowOf(body.encodeToByteArray())),
    isDelimited,
)

/** What a caller has received: the status of a response that started, its bytes, and a whole response. */
private class ReceivedAnswer {
    val parts = mutableListOf<String>()
    val channel = CallerChannel(
        start = { status, _ -> parts += "started $status" },
        write = { parts += it.decodeToString() },
        full = { status, _, body -> parts += "$status ${body.decodeToString()}" },
    )
}

/** Serves a stream whose first upstream breaks off after two events and whose next one gives [next]. */
private suspend fun serveBrokenStream(next: UpstreamReply, answer: ReceivedAnswer): Either<Refusal, Unit> =
    TestHost(fleetMember("host-1")).use { host ->
        host.setView(emptyList(), listOf("engine-1", "engine-2").map { poolMember(pool, it) })
        var sends = 0
        val forward: Forward = { _, handle ->
            sends++
            handle(if (sends == 1) reply(200, event(1) + event(2) + "id: 3\nda") else next)
            if (sends == 1) ExchangeFailure.Lost("cut", LossCause.CONNECTION_ENDED).left() else Unit.right()
        }
        val now = systemClock()
        val call = OnlineCall("request", RouteAccess(route, team = null), now, now + 4.seconds, 1, null, null)
        host.onlineServices().serveOnline(call, forward, answer.channel)
    }

class ResumedStreamSpec : DescribeSpec({
    describe("a stream that breaks off after two events") {
        val twoEvents = listOf("started 200", event(1) + event(2))

        listOf(
            "an error of the request" to reply(404, "no such path"),
            "a request that can't be processed" to reply(422, "too long"),
            "an error of the upstream" to reply(500, "out of memory"),
            "nothing, on a connection that ends" to reply(200, "", isDelimited = false),
            "a part of an event, on a connection that ends" to reply(200, "id: 3\nda", isDelimited = false),
        ).forEach { (name, next) ->
            it("is broken off for the caller if the next upstream answers with $name") {
                val answer = ReceivedAnswer()
                shouldThrow<IOException> { serveBrokenStream(next, answer) }
                answer.parts shouldBe twoEvents
            }
        }

        it("is complete if the next upstream answers with the rest, or says that there is none") {
            val whole = ReceivedAnswer()
            serveBrokenStream(reply(200, event(3), isDelimited = false), whole).isRight() shouldBe true
            whole.parts shouldBe twoEvents + event(3)
            val ended = ReceivedAnswer()
            serveBrokenStream(reply(200, ""), ended).isRight() shouldBe true
            ended.parts shouldBe twoEvents
        }
    }

    describe("the output of a batch item that goes on elsewhere") {
        it("is not complete if the next upstream sends nothing, on a connection that ends") {
            val output = ItemOutput(noProgress)
            output.collect(reply(200, event(1) + "id: 2\nda"), 1.seconds, systemClock)
                .shouldBeInstanceOf<RelayResult.Broken>()
            output.collect(reply(200, "", isDelimited = false), 1.seconds, systemClock)
                .shouldBeInstanceOf<RelayResult.Broken>()
            output.collect(reply(200, event(2)), 1.seconds, systemClock) shouldBe RelayResult.Complete
        }
    }
})
