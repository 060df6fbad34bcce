package figdeck.http.server

import figdeck.http.HttpBody
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.QueryStringDecoder

/**
 * A received request.
 *
 * @property target the path and query as received on the request line.
 * @property path the decoded path without the query.
 */
public data class HttpCall(
    public val method: String,
    public val target: String,
    public val path: String,
    public val query: Map<String, List<String>>,
    public val headers: HttpHeaders,
    public val body: HttpBody,
)

internal fun httpCall(method: String, uri: String, headers: HttpHeaders, body: HttpBody): HttpCall {
    val decoder = QueryStringDecoder(uri)
    return HttpCall(method, uri, decoder.path(), decoder.parameters(), headers, body)
}

/** Returns the first value of the query parameter [name], or null if it is absent. */
public fun HttpCall.parameter(name: String): String? = query[name]?.firstOrNull()
