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

/** Reads the whole body into memory, or stops as soon as it exceeds [limitBytes]. */
public suspend fun HttpBody.readAll(limitBytes: Int): Either<BodyOverLimit, ByteArray> {
    val collected = ByteArrayOutputStream()
    chunks
        .takeWhile { collected.size() <= limitBytes }
        .collect { collected.write(it) }
    return if (collected.size() > limitBytes) BodyOverLimit(limitBytes).left() else collected.toByteArray().right()
}
