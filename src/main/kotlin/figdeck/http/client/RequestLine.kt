package figdeck.http.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.handler.codec.http.HttpHeaderValidationUtil

private const val HEX_DIGITS = 4
private const val HEX_RADIX = 16
private const val BYTE_MASK = 0xFF
private const val UNRESERVED_MARKS = "-._~"

/** What a path may hold besides letters, digits and [UNRESERVED_MARKS]. Servers may tell it from its encoded form. */
private const val PATH_MARKS = "/!\$&'()*+,;=:@"
private const val VALID = -1

/**
 * The method and target of a request. Only texts that stay within one request line make one, so this is the only way
 * by which text reaches a request line. Text from callers, the store or other hosts goes through [requestLine].
 *
 * @property target the path and query in origin form: a slash, then visible ASCII characters alone.
 * @throws IllegalArgumentException if one of the texts may not be sent.
 */
public data class RequestLine(
    public val method: String,
    public val target: String,
) {
    init {
        val fault = requestLineFault(method, target)
        require(fault == null) { fault.orEmpty() }
    }
}

/** The request line of [method] and [target], or the reason why they may not be sent. */
public fun requestLine(method: String, target: String): Either<String, RequestLine> =
    requestLineFault(method, target)?.left() ?: RequestLine(method, target).right()

/** Percent-encodes [text] for one segment of a path, or for the name or value of a query parameter. */
public fun encodeSegment(text: String): String = encode(text, UNRESERVED_MARKS)

/** Percent-encodes what may not stand in a path, in the decoded path [text]. */
public fun encodePath(text: String): String = encode(text, UNRESERVED_MARKS + PATH_MARKS)

private fun isLetterOrDigit(char: Char): Boolean = char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9'

private fun encode(text: String, kept: String): String = buildString {
    text.encodeToByteArray().forEach { byte ->
        val char = (byte.toInt() and BYTE_MASK).toChar()
        if (isLetterOrDigit(char) || char in kept) {
            append(char)
        } else {
            append('%').append(char.code.toString(HEX_RADIX).uppercase().padStart(2, '0'))
        }
    }
}

private fun requestLineFault(method: String, target: String): String? {
    val invalid = target.find { it !in '!'..'~' }
    return when {
        method.isEmpty() || HttpHeaderValidationUtil.validateToken(method) != VALID -> "the method is no token"
        !target.startsWith('/') -> "the target does not begin with a slash"
        invalid != null -> "the target has the character ${invalid.codePoint()}: percent-encode it"
        else -> null
    }
}

private fun Char.codePoint(): String = "U+" + code.toString(HEX_RADIX).uppercase().padStart(HEX_DIGITS, '0')
