package figdeck.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

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

/** The parser recurses for each level of a tree, and the threads of a daemon have small stacks. */
private const val MAX_NESTING = 64

/** Decodes [text]. Returns the first line of the parser's message if [text] is invalid. */
internal fun <T> Json.decode(strategy: DeserializationStrategy<T>, text: String): Either<String, T> =
    parse(text) { decodeFromString(strategy, it) }

/** Decodes [text] to a tree. Returns the first line of the parser's message if [text] is invalid. */
internal fun Json.decodeTree(text: String): Either<String, JsonElement> = parse(text) { parseToJsonElement(it) }

private inline fun <T> parse(text: String, parser: (String) -> T): Either<String, T> = try {
    if (isNestedTooDeeply(text)) "nested deeper than $MAX_NESTING levels".left() else parser(text).right()
} catch (e: SerializationException) {
    (e.message ?: "not valid JSON").lineSequence().first().left()
}

private fun isNestedTooDeeply(text: String): Boolean {
    var depth = 0
    var isInString = false
    var i = 0
    while (i < text.length && depth <= MAX_NESTING) {
        when (text[i]) {
            '\\' -> i++
            '"' -> isInString = !isInString
            '[', '{' -> if (!isInString) depth++
            ']', '}' -> if (!isInString) depth--
        }
        i++
    }
    return depth > MAX_NESTING
}
