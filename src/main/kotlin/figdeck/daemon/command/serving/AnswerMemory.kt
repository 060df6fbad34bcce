package figdeck.daemon.command.serving

import java.util.concurrent.atomic.AtomicInteger

/** The part of an answer that is kept whatever other answers take. Most sound answers are shorter. */
private const val OWN_BYTES = 32 * 1024

/** The bytes that all answers together may take beyond [OWN_BYTES] each: a few percent of the heap of a small host. */
private const val SHARED_BYTES = 8 * 1024 * 1024

/**
 * The memory for the answers that a host buffers at the same time. A size limit for each answer does not bound it:
 * upstreams in trouble may answer any number of requests with bytes without end.
 */
internal class AnswerMemory(
    private val ownBytes: Int = OWN_BYTES,
    private val sharedBytes: Int = SHARED_BYTES,
) {
    private val used = AtomicInteger()

    fun newShare(): AnswerShare = AnswerShare()

    /** The memory of one answer. Confined to the request that reads the answer. */
    inner class AnswerShare : AutoCloseable {
        private var held = 0

        /** Returns whether the answer may grow to [size] bytes. */
        fun growTo(size: Int): Boolean {
            val more = size - ownBytes - held
            val isGranted = more <= 0 || used.addAndGet(more) <= sharedBytes
            if (more > 0) {
                if (isGranted) held += more else used.addAndGet(-more)
            }
            return isGranted
        }

        override fun close() {
            used.addAndGet(-held)
            held = 0
        }
    }
}
