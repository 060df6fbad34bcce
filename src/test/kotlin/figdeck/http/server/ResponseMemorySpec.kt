package figdeck.http.server

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.DefaultChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.util.concurrent.ImmediateEventExecutor
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val PART_BYTES = 16 * 1024
private const val PARTS = 10
private val STALL_TIMEOUT = 500.milliseconds

/** Several parts are taken within the stall timeout, and all of them take longer than it. */
private val PART_INTERVAL = 100.milliseconds

/** Within the time in which a process that was stopped looks at its connections. */
private val LATE_READ = 10.milliseconds

private fun newPart() = DefaultChannelPromise(EmbeddedChannel(), ImmediateEventExecutor.INSTANCE)

/** A response that is stopped until [mayResume], since others hold the memory. */
private class StoppedResponse(mayResume: (UnreadBytes) -> Boolean) {
    private val room = ResponseRoom(
        hasRoom = { false },
        mayResume = mayResume,
        stallTimeout = STALL_TIMEOUT,
        progressBytes = PART_BYTES.toLong(),
    )
    private val share = ResponseMemory(room).newShare()
    private val parts = List(PARTS) { newPart() }

    init {
        parts.forEach { share.hold(it, PART_BYTES) }
    }

    suspend fun awaitRoom(): Boolean = share.awaitRoom()

    /** Lets the reader take [count] parts, each after [interval]. */
    suspend fun read(count: Int, interval: Duration) = parts.take(count).forEach {
        delay(interval)
        it.setSuccess()
    }
}

class ResponseMemorySpec : DescribeSpec({
    describe("a response that is stopped because others hold the memory") {
        // Guards against ending the response of a caller that reads, as 2 s are too short for all that waits for it.
        it("goes on while its reader takes another part within each stall timeout") {
            coroutineScope {
                val stopped = StoppedResponse { it.own == 0L }
                val goesOn = async { stopped.awaitRoom() }
                stopped.read(PARTS, PART_INTERVAL)
                goesOn.await() shouldBe true
            }
        }

        it("ends when its reader takes no more") {
            coroutineScope {
                val stopped = StoppedResponse { it.own == 0L }
                val goesOn = async { stopped.awaitRoom() }
                stopped.read(2, PART_INTERVAL)
                goesOn.await() shouldBe false
            }
        }
    }

    describe("a response whose reader has taken nothing for the stall timeout") {
        // Guards against ending a response before the connection is looked at, after the process was stopped.
        it("goes on if its reader takes something at once") {
            coroutineScope {
                val stopped = StoppedResponse { true }
                stopped.awaitRoom() shouldBe true
                delay(STALL_TIMEOUT * 2)
                launch { stopped.read(1, LATE_READ) }
                stopped.awaitRoom() shouldBe true
            }
        }

        // Guards against readers that take turns in the memory that others free.
        it("ends otherwise, also if others have freed memory") {
            val stopped = StoppedResponse { true }
            stopped.awaitRoom() shouldBe true
            delay(STALL_TIMEOUT * 2)
            stopped.awaitRoom() shouldBe false
        }
    }
})
