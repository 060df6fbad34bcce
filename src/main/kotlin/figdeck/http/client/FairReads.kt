package figdeck.http.client

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator

private const val MIN_READ_BYTES = 512
private const val MAX_READ_BYTES = 64 * 1024

/** The most heads, chunks and ends that one read should decode. The next read is sized by the cost of the latest. */
private const val PARTS_PER_READ = 1024

/**
 * Sizes the reads of one connection by what its bytes cost to decode, so that it holds up the other connections of its
 * event loop by a bounded share of work. A read of chunks of one byte decodes a thousand times as many parts as one of
 * long chunks. Confined to the event loop.
 */
internal class FairReads : AdaptiveRecvByteBufAllocator() {
    private var limitBytes = MAX_READ_BYTES
    private var readBytes = 0
    private var decodedParts = 0

    /** Counts [parts] of messages that the read in progress has decoded. */
    fun countDecoded(parts: Int) {
        decodedParts += parts
    }

    @Deprecated("Deprecated in Java")
    override fun newHandle(): RecvByteBufAllocator.Handle = LimitedHandle(super.newHandle())

    private fun endRead() {
        if (readBytes > 0) {
            val affordable = readBytes.toLong() * PARTS_PER_READ / maxOf(decodedParts, 1)
            limitBytes = affordable.coerceIn(MIN_READ_BYTES.toLong(), MAX_READ_BYTES.toLong()).toInt()
        }
        readBytes = 0
        decodedParts = 0
    }

    private inner class LimitedHandle(handle: RecvByteBufAllocator.Handle) :
        RecvByteBufAllocator.DelegatingHandle(handle) {
        override fun guess(): Int = minOf(super.guess(), limitBytes)

        override fun allocate(alloc: ByteBufAllocator): ByteBuf = alloc.ioBuffer(guess())

        override fun lastBytesRead(bytes: Int) {
            readBytes += maxOf(bytes, 0)
            super.lastBytesRead(bytes)
        }

        override fun readComplete() {
            super.readComplete()
            endRead()
        }
    }
}
