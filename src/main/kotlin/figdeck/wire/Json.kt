package figdeck.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads what others wrote: fields that figdeck doesn't know are passed over. */
internal val lenientJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}

/** Reads what operators wrote: an unknown field is a fault. */
internal val strictJson: Json = Json {
    ignoreUnknownKeys = false
    encodeDefaults = true
}

/** Decodes [text], or tells in a sentence why it can't be read. */
internal fun <T> Json.decode(strategy: DeserializationStrategy<T>, text: String): Either<String, T> = try {
    decodeFromString(strategy, text).right()
} catch (e: SerializationException) {
    (e.message ?: "not valid JSON").lineSequence().first().left()
}
