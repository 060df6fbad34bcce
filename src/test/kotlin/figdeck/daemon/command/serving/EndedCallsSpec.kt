package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.right
import figdeck.http.HttpBody
import figdeck.http.newHeaders
import figdeck.model.Refusal
import figdeck.model.serving.CallKind
import figdeck.model.serving.PoolName
import figdeck.model.serving.servingPlan
import figdeck.model.systemClock
import figdeck.query.serving.RouteAccess
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.util.concurrent.Semaphore
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val pool = PoolName("engines")

/** The slots of [poolMember]. */
private const val UPSTREAM_SLOTS = 6

private fun routeOf(callKind: CallKind) = servingPlan {
    version = 1
    route("chat") {
        host = "desk.example"
        prefix = "/chat/"
        kind = callKind
        timeout = 30.seconds
        latencyObjective = 20.seconds
        maxAttempts = 1
        pool(pool.value)
    }
}.getOrElse { error(it.toString()) }.routes.single()

/** The outcomes of [count] requests at one upstream that are ended once [begun] of them have got so far. */
private suspend fun endedCalls(
    kind: CallKind,
    count: Int = 1,
    begun: Semaphore,
    forward: Forward,
): List<Either<Refusal, Unit>> = TestHost(fleetMember("host-1")).use { host ->
    host.setView(emptyList(), listOf(poolMember(pool, "upstream-1")))
    val calls = CallsInProgress()
    val services = host.onlineServices(calls)
    val caller = CallerChannel(
        start = { _, _ -> },
        write = { begun.release() },
        full = { _, _, _ ->
            begun.release()
            awaitCancellation()
        },
    )
    supervisorScope {
        val outcomes = List(count) { i ->
            val now = systemClock()
            val call = OnlineCall("call-$i", RouteAccess(routeOf(kind), null), now, now + 30.seconds, 1, null, null)
            async(Dispatchers.Default) { services.serveOnline(call, forward, caller) }
        }
        withContext(Dispatchers.IO) { begun.acquire(minOf(count, UPSTREAM_SLOTS)) }
        delay(100.milliseconds)
        calls.endAll()
        withTimeout(5.seconds) { outcomes.awaitAll() }
    }
}

class EndedCallsSpec : DescribeSpec({
    // Guards against requests that a planned stop cuts off without an answer although they could have had one.
    describe("requests that are still in progress when a planned stop ends") {
        it("are said to have perhaps run if they were forwarded, and not to have run if they waited for a slot") {
            val begun = Semaphore(0)
            val outcomes = endedCalls(CallKind.NON_IDEMPOTENT, UPSTREAM_SLOTS + 2, begun) { _, _ ->
                begun.release()
                awaitCancellation()
            }
            val refusals = outcomes.map { it.leftOrNull() }
            refusals.count { it is Refusal.AnswerTimeout } shouldBe UPSTREAM_SLOTS
            refusals.count { it == Refusal.Draining } shouldBe 2
        }

        it("are broken off if a part of their stream was sent") {
            shouldThrow<IOException> {
                endedCalls(CallKind.RESUMABLE_STREAM, begun = Semaphore(0)) { _, handle ->
                    val events = flow {
                        emit("id: 1\ndata: word\n\n".encodeToByteArray())
                        awaitCancellation()
                    }
                    handle(UpstreamReply(ExecutionStatus.RAN, 200, newHeaders(), HttpBody(events)))
                    Unit.right()
                }
            }
        }

        it("are broken off if their answer is being sent") {
            shouldThrow<IOException> {
                endedCalls(CallKind.NON_IDEMPOTENT, begun = Semaphore(0)) { _, handle ->
                    val body = HttpBody(flowOf("free".encodeToByteArray()))
                    handle(UpstreamReply(ExecutionStatus.RAN, 200, newHeaders(), body))
                    Unit.right()
                }
            }
        }
    }
})
