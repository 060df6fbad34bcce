package figdeck.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy

/** Decodes [text] and converts the result with [create]. Returns a message if [text] or a value in it is invalid. */
internal fun <D, T> decodeAs(
    text: String,
    strategy: DeserializationStrategy<D>,
    create: (D) -> T,
): Either<String, T> = lenientJson.decode(strategy, text).fold(
    { it.left() },
    { dto ->
        try {
            create(dto).right()
        } catch (e: IllegalArgumentException) {
            (e.message ?: "not valid").left()
        }
    },
)
