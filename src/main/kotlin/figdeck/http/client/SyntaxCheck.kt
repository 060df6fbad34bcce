package figdeck.http.client

import io.netty.buffer.ByteBuf

private const val HEX_RADIX = 16
private const val MAX_CHUNK_OCTETS = Int.MAX_VALUE.toLong()

/**
 * Checks the syntax of the responses of one connection before they are decoded. The decoder repairs or skips what it
 * doesn't understand, and would return a broken response as another, sound one. Confined to the event loop.
 */
internal class SyntaxCheck {
    private var position = endOfFields

    /** The octets after the reader index that were checked and not decoded yet. */
    private var checkedOctets = 0

    /** The size of the next chunk, as far as it was read. */
    private var chunkSizeRead = 0L

    /** The octets of the chunk in progress that were not received yet. */
    private var missingChunkOctets = 0

    /** Begins a response. */
    fun startResponse() {
        position = startOfResponse
        checkedOctets = 0
        missingChunkOctets = 0
        chunkSizeRead = 0
    }

    /** Begins a body in chunks, after the head. */
    fun startChunks() {
        position = startOfChunk
    }

    /** Checks the octets of [received] that were not checked before; returns what is wrong with them, or null. */
    fun findFault(received: ByteBuf): String? {
        var index = received.readerIndex() + checkedOctets
        var fault: String? = null
        while (fault == null && position !== endOfFields && index < received.writerIndex()) {
            if (missingChunkOctets > 0) {
                val skipped = minOf(missingChunkOctets, received.writerIndex() - index)
                missingChunkOctets -= skipped
                index += skipped
            } else {
                fault = advance(received.getUnsignedByte(index).toInt())
                index++
            }
        }
        checkedOctets = index - received.readerIndex()
        return fault
    }

    /** Counts [octets] that were decoded since the latest check. */
    fun countDecoded(octets: Int) {
        checkedOctets = maxOf(checkedOctets - octets, 0)
    }

    private fun advance(octet: Int): String? {
        val next = position.next(octet) ?: return "octet $octet in ${position.part}"
        position = next
        if (next === chunkSize) {
            chunkSizeRead = chunkSizeRead * HEX_RADIX + Character.digit(octet, HEX_RADIX)
        } else if (next === endOfChunkSize) {
            startChunkData()
        }
        return if (chunkSizeRead > MAX_CHUNK_OCTETS) "a chunk of more than $MAX_CHUNK_OCTETS octets" else null
    }

    /** The last chunk has no data; trailer fields follow it. */
    private fun startChunkData() {
        position = if (chunkSizeRead > 0) endOfChunkData else startOfField
        missingChunkOctets = chunkSizeRead.toInt()
        chunkSizeRead = 0
    }
}
