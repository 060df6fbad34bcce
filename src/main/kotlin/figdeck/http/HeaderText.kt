package figdeck.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.handler.codec.http.HttpHeaderValidationUtil
import io.netty.handler.codec.http.HttpHeaders

/** What the validators return in place of the index of an invalid character. */
private const val VALID = -1

/** The validators look at the lowest byte of a character alone. */
private const val LAST_ASCII = '\u007F'

/** The reason why the header [name] with [value] may not be sent; null if it may. */
public fun headerFault(name: CharSequence, value: CharSequence): String? = when {
    name.isEmpty() || name.any { it > LAST_ASCII } || HttpHeaderValidationUtil.validateToken(name) != VALID ->
        "a header name is empty or no token"
    HttpHeaderValidationUtil.validateValidHeaderValue(value) != VALID ->
        "the value of header '$name' has a control character or begins with a space or tab"
    else -> null
}

/** Sets [name] to [value], which may come from anywhere, or returns the reason why they may not be sent. */
public fun HttpHeaders.setChecked(name: CharSequence, value: String): Either<String, HttpHeaders> =
    headerFault(name, value)?.left() ?: set(name, value).right()

/** Headers with [values], which may come from anywhere, or the reason why they may not be sent. */
public fun checkedHeaders(values: Map<String, String>): Either<String, HttpHeaders> {
    val fault = values.firstNotNullOfOrNull { (name, value) -> headerFault(name, value) }
    return fault?.left() ?: newHeaders().apply { values.forEach { (name, value) -> set(name, value) } }.right()
}
