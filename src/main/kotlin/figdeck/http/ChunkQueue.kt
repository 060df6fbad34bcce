package figdeck.http

import figdeck.http.client.LossCause
import io.netty.buffer.ByteBuf
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration

/** The longest chunk that is emitted, so that a collector handles little between two looks at its deadline. */
private const val MAX_CHUNK_BYTES = 16 * 1024

/** An HTTP message ended before it was complete. */
internal class IncompleteMessageException(
    reason: String,
    val lossCause: LossCause = LossCause.CONNECTION_ENDED,
) : IOException(reason)

/**
 * Transfers body chunks from a Netty channel to a coroutine.
 *
 * The queue joins the chunks that one socket read decoded: a peer may send a megabyte in chunks of one byte each. It
 * calls [requestRead] for the next read only when they have been collected, so that a slow collector uses bounded
 * memory. Collecting [body] fails when no chunk arrives within [idleTimeout].
 */
internal class ChunkQueue(
    private val idleTimeout: Duration,
    private val requestRead: () -> Unit,
) {
    private val lock = Any()

    /** The bytes that were received and not emitted, in order. Guarded by [lock]. */
    private val buffered = ArrayDeque<ByteArrayOutputStream>()

    /** How the body ended, or null if it goes on. Guarded by [lock]. */
    private var ending: Ending? = null

    /** Holds an element if a read that received something, or the body, has ended since the latest wait. */
    private val changed = Channel<Unit>(Channel.CONFLATED)

    val body: HttpBody = HttpBody(chunks())

    @Volatile
    var isComplete: Boolean = false
        private set

    /** Whether [body] was collected to its end. */
    @Volatile
    var isConsumed: Boolean = false
        private set

    /** Adds the bytes of [content]. The collector is woken by [endRead], [complete] or [fail]. */
    fun offer(content: ByteBuf) {
        if (content.isReadable) {
            val size = content.readableBytes()
            synchronized(lock) {
                val last = buffered.lastOrNull()?.takeIf { it.size() + size <= MAX_CHUNK_BYTES }
                val target = last ?: ByteArrayOutputStream(size).also { buffered.addLast(it) }
                content.getBytes(content.readerIndex(), target, size)
            }
        }
    }

    /** Ends a socket read: wakes the collector once for all chunks that it decoded, as far as there are any. */
    fun endRead() {
        if (synchronized(lock) { buffered.isNotEmpty() }) changed.trySend(Unit)
    }

    fun complete() {
        isComplete = true
        end(Ending(failure = null))
    }

    fun fail(reason: String, cause: LossCause = LossCause.CONNECTION_ENDED) =
        end(Ending(IncompleteMessageException(reason, cause)))

    private fun end(newEnding: Ending) {
        synchronized(lock) { ending = ending ?: newEnding }
        changed.trySend(Unit)
    }

    private fun chunks(): Flow<ByteArray> = flow {
        while (!isConsumed) {
            when (val next = poll() ?: awaitNext()) {
                is Ending -> {
                    next.failure?.let { throw it }
                    isConsumed = true
                }
                is Chunk -> {
                    emit(next.bytes)
                    // The body is long: others who share the thread, and the collector's deadline, have their turn.
                    if (next.bytes.size > MAX_CHUNK_BYTES / 2) yield()
                }
            }
        }
    }

    /** Takes what comes next, or returns null if nothing has been received. */
    private fun poll(): Received? = synchronized(lock) {
        buffered.removeFirstOrNull()?.let { Chunk(it.toByteArray()) } ?: ending
    }

    private suspend fun awaitNext(): Received {
        requestRead()
        var next: Received? = null
        // The result is kept outside of the block: a block that ends as its time-out is due returns nothing.
        withTimeoutOrNull(idleTimeout) {
            while (next == null) {
                changed.receive()
                next = poll()
            }
        }
        return next ?: lateNext()
    }

    /** Returns what is there although the wait for it timed out. */
    private suspend fun lateNext(): Received {
        delay(READ_GRACE)
        return poll() ?: throw IncompleteMessageException("nothing came for $idleTimeout", LossCause.TIMEOUT)
    }

    private sealed interface Received

    private class Chunk(val bytes: ByteArray) : Received

    private class Ending(val failure: IncompleteMessageException?) : Received
}
