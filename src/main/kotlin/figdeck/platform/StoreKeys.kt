package figdeck.platform

import java.net.URLEncoder
import java.util.Base64

private const val SEPARATOR = '/'

/** The key after `x` in byte order is `x` with this character. */
internal const val LOWEST_CHARACTER = "\u0000"

internal fun rowKey(table: String, key: String): String = "$table$SEPARATOR$key"

internal fun rowMessage(key: String): RowMessage = RowMessage(table = tableName(key), key = keyInTable(key))

internal fun tableName(key: String): String = key.substringBefore(SEPARATOR)

internal fun keyInTable(key: String): String = key.substringAfter(SEPARATOR, "")

/** [path] with those of [parameters] that have a value. */
internal fun storeTarget(path: String, vararg parameters: Pair<String, String?>): String =
    parameters.mapNotNull { (name, value) -> value?.let { "$name=${urlEncode(it)}" } }.joinToString("&", "$path?")

internal fun urlEncode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

internal fun encodeValue(value: String): String = Base64.getEncoder().encodeToString(value.encodeToByteArray())

/** Values of other writers may be anything; what isn't Base64 reads as an empty value. */
internal fun decodeValue(value: String?): String = try {
    Base64.getDecoder().decode(value.orEmpty()).decodeToString()
} catch (_: IllegalArgumentException) {
    ""
}

/** The first key after all that start with this one; null for the empty prefix. */
internal fun String.prefixEnd(): String? = if (isEmpty()) null else dropLast(1) + (last() + 1)
