package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.right
import figdeck.http.client.ExchangeFailure
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import figdeck.model.UpstreamKind
import figdeck.process.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val MIB = 1024 * 1024
private val WAIT_LIMIT = 5.seconds

private fun options(name: String, kind: UpstreamKind) = SendOptions(
    upstream = Upstream(UpstreamId(name), Address("127.0.0.1", 1), DataCentre("centre-a"), kind, 6, false),
    timeLeft = 10.seconds,
    resumeAfter = null,
    headTimeout = 10.seconds,
    idleTimeout = 10.seconds,
    freshConnection = false,
)

/** Sends of which each ends when it is told to. */
private class Sends {
    private val bodies = BodiesInFlight()
    private val scope = CoroutineScope(Dispatchers.Default)
    private val sent = AtomicInteger()
    private val end = CompletableDeferred<Unit>()

    fun send(size: Int, name: String = "service-1", kind: UpstreamKind = UpstreamKind.SERVICE) = scope.async {
        bodies.withRoom(options(name, kind), ByteArray(size)) {
            sent.incrementAndGet()
            end.await()
            Unit.right()
        }
    }

    suspend fun awaitSent(count: Int) = eventually(WAIT_LIMIT) { sent.get() == count }

    fun endAll() = end.complete(Unit)
}

private suspend fun Deferred<Either<ExchangeFailure, Unit>>.isBusy(): Boolean =
    (withTimeoutOrNull(WAIT_LIMIT) { await() }?.leftOrNull() as? ExchangeFailure.NotSent)?.isPeerAtFault == false

class BodiesInFlightSpec : DescribeSpec({
    // Guards against a plain service that crashes because the bodies that it holds exceed its memory.
    describe("bodies in flight to a plain service") {
        it("take 8 MiB and no byte more") {
            val sends = Sends()
            sends.send(8 * MIB - 1)
            sends.send(1)
            sends.awaitSent(2)
            sends.send(1).isBusy() shouldBe true
        }

        it("wait for others to end") {
            val sends = Sends()
            sends.send(5 * MIB)
            sends.awaitSent(1)
            val waiting = sends.send(5 * MIB)
            sends.endAll()
            waiting.await().isRight() shouldBe true
        }

        it("take nothing of another service") {
            val sends = Sends()
            sends.send(5 * MIB)
            sends.send(5 * MIB, name = "service-2")
            sends.awaitSent(2)
        }

        // Guards against memory that is counted for ever after its caller has left.
        it("leave room when their send is cancelled") {
            val sends = Sends()
            val cancelled = sends.send(8 * MIB)
            sends.awaitSent(1)
            cancelled.cancelAndJoin()
            sends.send(8 * MIB)
            sends.awaitSent(2)
        }
    }

    it("does not limit bodies for an engine, whose memory is counted in tokens") {
        val sends = Sends()
        sends.send(5 * MIB, kind = UpstreamKind.ENGINE)
        sends.send(5 * MIB, kind = UpstreamKind.ENGINE)
        sends.awaitSent(2)
    }
})
