package figdeck.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Ignores unknown fields. Used for stored rows, for messages from peers and engines, and for requests from callers. */
internal val lenientJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}

/** Rejects unknown fields. Used for input from operators. */
internal val strictJson: Json = Json {
    ignoreUnknownKeys = false
    encodeDefaults = true
}

/** Decodes [text]. Returns the first line of the parser's message if [text] is invalid. */
internal fun <T> Json.decode(strategy: DeserializationStrategy<T>, text: String): Either<String, T> = try {
    decodeFromString(strategy, text).right()
} catch (e: SerializationException) {
    (e.message ?: "not valid JSON").lineSequence().first().left()
}
