package figdeck.http.client

internal const val TAB: Int = 0x09
internal const val LINE_FEED: Int = 0x0A
internal const val CARRIAGE_RETURN: Int = 0x0D
internal const val SPACE: Int = 0x20
internal const val COLON: Int = 0x3A
private const val FIRST_VISIBLE = 0x21
private const val LAST_VISIBLE = 0x7E

/** The first octet outside of ASCII. RFC 9110, section 5.5 allows them in texts as `obs-text`. */
private const val FIRST_OBSOLETE = 0x80

/** What a token may hold besides letters and digits. */
private const val TOKEN_MARKS = "!#$%&'*+-.^_`|~"

internal fun isBlank(octet: Int): Boolean = octet == SPACE || octet == TAB

internal fun isDigit(octet: Int): Boolean = octet in '0'.code..'9'.code

internal fun isHexDigit(octet: Int): Boolean =
    isDigit(octet) || octet in 'a'.code..'f'.code || octet in 'A'.code..'F'.code

/** Whether [octet] may stand in a token, such as the name of a field. */
internal fun isToken(octet: Int): Boolean =
    isDigit(octet) || octet in 'a'.code..'z'.code || octet in 'A'.code..'Z'.code || octet.toChar() in TOKEN_MARKS

/** Whether [octet] may stand in a reason phrase, in the value of a field or in a quoted text. */
internal fun isText(octet: Int): Boolean =
    isBlank(octet) || octet in FIRST_VISIBLE..LAST_VISIBLE || octet >= FIRST_OBSOLETE
