package figdeck.http.server

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.channel.DefaultChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.util.concurrent.ImmediateEventExecutor
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val PART_BYTES = 16 * 1024
private const val PARTS = 10
private const val PARTS_OF_OTHERS = 100
private const val FEW_LOOKS = 10

/** More than the parts of one response and one part of another take. */
private const val LIMIT_BYTES = (PARTS + 3) * PART_BYTES
private val STALL_TIMEOUT = 500.milliseconds

/** Several parts are taken within the stall timeout, and all of them take longer than it. */
private val PART_INTERVAL = 100.milliseconds

/** Sooner than a response that is not woken looks once more, at the end of the stall timeout. */
private val SOON = 250.milliseconds

/** Within the time in which a process that was stopped looks at its connections. */
private val LATE_READ = 10.milliseconds

private fun newPart() = DefaultChannelPromise(EmbeddedChannel(), ImmediateEventExecutor.INSTANCE)

private fun stoppedRoom(mayResume: (UnreadBytes) -> Boolean) = ResponseRoom(
    hasRoom = { false },
    mayResume = mayResume,
    stallTimeout = STALL_TIMEOUT,
    progressBytes = PART_BYTES.toLong(),
    exceededLimits = { if (it > LIMIT_BYTES) 1 else 0 },
)

/** A response that is stopped until [mayResume], since others hold the memory. */
private class StoppedResponse(mayResume: (UnreadBytes) -> Boolean) {
    private val memory = ResponseMemory(stoppedRoom(mayResume))
    private val share = memory.newShare()
    private val parts = List(PARTS) { newPart() }
    private val others = memory.newShare()

    init {
        parts.forEach { share.hold(it, PART_BYTES) }
    }

    suspend fun awaitRoom(): Boolean = share.awaitRoom()

    /** Adds a part of another response. */
    fun holdOther(): DefaultChannelPromise = newPart().also { others.hold(it, PART_BYTES) }

    /** Lets the reader take a part at once. */
    fun readPart() {
        parts.first { !it.isDone }.setSuccess()
    }

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

    describe("a response that waits for room") {
        // Guards against wakes of all stopped responses for each part of any response.
        it("is not woken by parts of others while the total crosses no limit") {
            coroutineScope {
                val looks = AtomicInteger()
                val stopped = StoppedResponse {
                    looks.incrementAndGet()
                    false
                }
                val goesOn = async { stopped.awaitRoom() }
                repeat(PARTS_OF_OTHERS) {
                    val part = stopped.holdOther()
                    yield()
                    part.setSuccess()
                    yield()
                }
                looks.get() shouldBeLessThan FEW_LOOKS
                goesOn.await() shouldBe false
            }
        }

        it("goes on when others have freed memory up to a limit") {
            coroutineScope {
                val stopped = StoppedResponse { it.all <= LIMIT_BYTES }
                val parts = List(PARTS) { stopped.holdOther() }
                val goesOn = async { withTimeoutOrNull(SOON) { stopped.awaitRoom() } }
                parts.forEach {
                    yield()
                    it.setSuccess()
                }
                goesOn.await() shouldBe true
            }
        }

        // Guards against a lost wake, as the total is the same before and after.
        it("goes on when its reader takes a part while another response adds one") {
            coroutineScope {
                val before = PARTS * (PART_BYTES + 512L)
                val stopped = StoppedResponse { it.own < before }
                val goesOn = async { withTimeoutOrNull(SOON) { stopped.awaitRoom() } }
                delay(LATE_READ)
                stopped.readPart()
                stopped.holdOther()
                goesOn.await() shouldBe true
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
