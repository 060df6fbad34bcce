package figdeck.platform

import figdeck.http.client.encodeSegment
import java.util.Base64

private const val SEPARATOR = '/'

/** Appended to a key, gives the next key in byte order. */
internal const val LOWEST_CHARACTER = "\u0000"

/** The product's key for the row [key] of [table]. */
internal fun rowKey(table: String, key: String): String = "$table$SEPARATOR$key"

/** A message that names the row with the product's key [key]. */
internal fun rowMessage(key: String): RowMessage = RowMessage(table = tableName(key), key = keyInTable(key))

/** The table of the row with the product's key [key]. */
internal fun tableName(key: String): String = key.substringBefore(SEPARATOR)

/** The key, within its table, of the row with the product's key [key]. */
internal fun keyInTable(key: String): String = key.substringAfter(SEPARATOR, "")

/** The request target for [path] with those [parameters] whose value is not null. */
internal fun storeTarget(path: String, vararg parameters: Pair<String, String?>): String =
    parameters.mapNotNull { (name, value) -> value?.let { "$name=${encodeSegment(it)}" } }.joinToString("&", "$path?")

internal fun encodeValue(value: String): String = Base64.getEncoder().encodeToString(value.encodeToByteArray())

/** Decodes a Base64 value. Other writers may store anything, so a value that is not Base64 decodes as empty. */
internal fun decodeValue(value: String?): String = try {
    Base64.getDecoder().decode(value.orEmpty()).decodeToString()
} catch (_: IllegalArgumentException) {
    ""
}

/** The first key after all keys that start with this prefix; null for the empty prefix. */
internal fun String.prefixEnd(): String? = if (isEmpty()) null else dropLast(1) + (last() + 1)
