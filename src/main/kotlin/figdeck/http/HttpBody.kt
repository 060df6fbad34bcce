package figdeck.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.takeWhile
import java.io.ByteArrayOutputStream

/** A body as it arrives, in chunks. It can be collected once; collecting slowly holds back the sender. */
public data class HttpBody(public val chunks: Flow<ByteArray>)

/** A body was longer than [limitBytes]. */
public data class BodyOverLimit(public val limitBytes: Int)

/** Collects the whole body, or stops as soon as it is longer than [limitBytes]. */
public suspend fun HttpBody.readAll(limitBytes: Int): Either<BodyOverLimit, ByteArray> {
    val collected = ByteArrayOutputStream()
    chunks
        .takeWhile { collected.size() <= limitBytes }
        .collect { collected.write(it) }
    return if (collected.size() > limitBytes) BodyOverLimit(limitBytes).left() else collected.toByteArray().right()
}
