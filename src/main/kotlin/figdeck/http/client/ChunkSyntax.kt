package figdeck.http.client

private const val QUOTE = 0x22
private const val SEMICOLON = 0x3B
private const val EQUALS_SIGN = 0x3D
private const val BACKSLASH = 0x5C

/** Where the line with the size of a chunk ends. */
internal val endOfChunkSize: SyntaxPosition = SyntaxPosition("nothing") { null }

private val chunkSizeEnd = SyntaxPosition("the end of a chunk size") { octet ->
    endOfChunkSize.takeIf { octet == LINE_FEED }
}

private val beforeExtension: SyntaxPosition = SyntaxPosition("a chunk extension") { octet ->
    when {
        octet == SEMICOLON -> startOfExtension
        isBlank(octet) -> beforeExtension
        else -> null
    }
}

private val startOfExtension: SyntaxPosition = SyntaxPosition("the name of a chunk extension") { octet ->
    when {
        isToken(octet) -> extensionName
        isBlank(octet) -> startOfExtension
        else -> null
    }
}

private val extensionName: SyntaxPosition = SyntaxPosition("the name of a chunk extension") { octet ->
    when {
        isToken(octet) -> extensionName
        octet == EQUALS_SIGN -> startOfExtensionValue
        isBlank(octet) -> extensionNameEnd
        else -> extensionEnd.next(octet)
    }
}

private val extensionNameEnd: SyntaxPosition = SyntaxPosition("the name of a chunk extension") { octet ->
    when {
        octet == EQUALS_SIGN -> startOfExtensionValue
        octet == SEMICOLON -> startOfExtension
        isBlank(octet) -> extensionNameEnd
        else -> null
    }
}

private val startOfExtensionValue: SyntaxPosition = SyntaxPosition("the value of a chunk extension") { octet ->
    when {
        isToken(octet) -> extensionToken
        octet == QUOTE -> quotedText
        isBlank(octet) -> startOfExtensionValue
        else -> null
    }
}

private val extensionToken: SyntaxPosition = SyntaxPosition("the value of a chunk extension") { octet ->
    if (isToken(octet)) extensionToken else extensionEnd.next(octet)
}

private val quotedText: SyntaxPosition = SyntaxPosition("the value of a chunk extension") { octet ->
    when {
        octet == QUOTE -> extensionEnd
        octet == BACKSLASH -> escapedOctet
        isText(octet) -> quotedText
        else -> null
    }
}

private val escapedOctet: SyntaxPosition = SyntaxPosition("the value of a chunk extension") { octet ->
    quotedText.takeIf { isText(octet) }
}

/** What may follow a size or an extension: the next extension, or the end of the line. */
private val extensionEnd: SyntaxPosition = SyntaxPosition("a chunk extension") { octet ->
    if (octet == CARRIAGE_RETURN) chunkSizeEnd else beforeExtension.next(octet)
}

/** A further digit of the size of a chunk, or what follows the size. */
internal val chunkSize: SyntaxPosition = SyntaxPosition("a chunk size") { octet ->
    if (isHexDigit(octet)) chunkSize else extensionEnd.next(octet)
}

/** The first position of a chunk. */
internal val startOfChunk: SyntaxPosition = SyntaxPosition("a chunk size") { octet ->
    chunkSize.takeIf { isHexDigit(octet) }
}

private val chunkDataLineEnd = SyntaxPosition("the end of a chunk") { octet ->
    startOfChunk.takeIf { octet == LINE_FEED }
}

/** The position after the data of a chunk. */
internal val endOfChunkData: SyntaxPosition = SyntaxPosition("the end of a chunk") { octet ->
    chunkDataLineEnd.takeIf { octet == CARRIAGE_RETURN }
}
