package figdeck.http.client

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * The reason why the end of [response], whose syntax is sound, is unknown; null if it is known. No request of this
 * client asks for an upgrade or for a transfer coding other than chunked.
 */
internal fun framingFaultOf(response: HttpResponse): String? {
    val headers = response.headers()
    val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
    return when {
        response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS -> "a switch to another protocol"
        codings.isEmpty() -> null
        response.protocolVersion().minorVersion() == 0 -> "a transfer coding in a response of HTTP/1.0"
        HttpHeaderNames.CONTENT_LENGTH in headers -> "both a length and a transfer coding"
        !isChunkedAlone(codings) -> "the transfer coding $codings"
        else -> null
    }
}

/** Whether the lists [codings] hold chunked and nothing else. A list may have empty elements. */
private fun isChunkedAlone(codings: List<String>): Boolean =
    codings.flatMap { it.split(',') }.map { it.trim() }.filter { it.isNotEmpty() }
        .singleOrNull().equals(HttpHeaderValues.CHUNKED.toString(), ignoreCase = true)
