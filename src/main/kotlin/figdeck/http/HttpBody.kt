package figdeck.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.takeWhile
import java.io.ByteArrayOutputStream

/** A body received in chunks. It can be collected once. A slow collector applies backpressure to the sender. */
public data class HttpBody(public val chunks: Flow<ByteArray>)

/** The body is longer than [limitBytes]. */
public data class BodyOverLimit(public val limitBytes: Int)

/**
 * Reads the whole body into memory, or stops with the chunk by which it would exceed [limitBytes], or grow to a size
 * that [mayGrowTo] refuses.
 */
public suspend fun HttpBody.readAll(
    limitBytes: Int,
    mayGrowTo: (size: Int) -> Boolean = { true },
): Either<BodyOverLimit, ByteArray> {
    val collected = ByteArrayOutputStream()
    var fits = true
    chunks
        .takeWhile { chunk ->
            val size = collected.size() + chunk.size
            fits = size <= limitBytes && mayGrowTo(size)
            fits
        }
        .collect { collected.write(it) }
    return if (fits) collected.toByteArray().right() else BodyOverLimit(limitBytes).left()
}
