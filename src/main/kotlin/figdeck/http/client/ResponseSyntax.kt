package figdeck.http.client

private const val VERSION_PREFIX = "HTTP/1."

/**
 * A position in the syntax of a response.
 *
 * @property part the part of the response that is expected here.
 * @property next returns the position after an octet, or null if the octet is not allowed here.
 */
internal class SyntaxPosition(
    val part: String,
    val next: (octet: Int) -> SyntaxPosition?,
)

/** Where the fields of a head or of a trailer section end. */
internal val endOfFields: SyntaxPosition = SyntaxPosition("nothing") { null }

private val fieldsEnd = SyntaxPosition("the end of the fields") { octet -> endOfFields.takeIf { octet == LINE_FEED } }

private val fieldLineEnd = SyntaxPosition("the end of a field") { octet -> startOfField.takeIf { octet == LINE_FEED } }

private val fieldValue: SyntaxPosition = SyntaxPosition("the value of a field") { octet ->
    when {
        octet == CARRIAGE_RETURN -> fieldLineEnd
        isText(octet) -> fieldValue
        else -> null
    }
}

/** The name of a field, up to the colon: no space may stand between them. */
private val fieldName: SyntaxPosition = SyntaxPosition("the name of a field") { octet ->
    when {
        octet == COLON -> fieldValue
        isToken(octet) -> fieldName
        else -> null
    }
}

/**
 * The start of a line with a field, or of the empty line after the last one. A line that begins with a space or tab
 * continues the one before; RFC 9112, section 5.2 lets a gateway reject a response with such a line.
 */
internal val startOfField: SyntaxPosition = SyntaxPosition("the name of a field") { octet ->
    when {
        octet == CARRIAGE_RETURN -> fieldsEnd
        isToken(octet) -> fieldName
        else -> null
    }
}

private val statusLineEnd = SyntaxPosition("the end of the status line") { octet ->
    startOfField.takeIf { octet == LINE_FEED }
}

private val reasonPhrase: SyntaxPosition = SyntaxPosition("the reason phrase") { octet ->
    when {
        octet == CARRIAGE_RETURN -> statusLineEnd
        isText(octet) -> reasonPhrase
        else -> null
    }
}

/** Servers often leave out the space before an absent reason phrase. RFC 9112, section 4 lets clients accept that. */
private val statusCodeEnd = SyntaxPosition("the end of the status code") { octet ->
    when (octet) {
        CARRIAGE_RETURN -> statusLineEnd
        SPACE -> reasonPhrase
        else -> null
    }
}

/** The status codes 100 to 599; RFC 9110, section 15 calls all others invalid. */
private val statusCode = sequence("the status code", listOf(::isStatusClass, ::isDigit, ::isDigit), statusCodeEnd)

/** The first position of a response: a status line of any minor version of HTTP/1. */
internal val startOfResponse: SyntaxPosition = sequence(
    "the version",
    VERSION_PREFIX.map { char -> { octet: Int -> octet == char.code } } + listOf(::isDigit, { it == SPACE }),
    statusCode,
)

/** The positions that expect one octet after another, each as [octets] allow, and then [end]. */
private fun sequence(part: String, octets: List<(Int) -> Boolean>, end: SyntaxPosition): SyntaxPosition =
    octets.foldRight(end) { isAllowed, following ->
        SyntaxPosition(part) { octet -> following.takeIf { isAllowed(octet) } }
    }

private fun isStatusClass(octet: Int): Boolean = octet in '1'.code..'5'.code
