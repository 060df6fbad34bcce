package figdeck.http.server

import figdeck.http.HttpBody
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.QueryStringDecoder

/** A request as the server received it. [path] is decoded and without the query. */
public data class HttpCall(
    public val method: String,
    public val path: String,
    public val query: Map<String, List<String>>,
    public val headers: HttpHeaders,
    public val body: HttpBody,
)

internal fun httpCall(method: String, uri: String, headers: HttpHeaders, body: HttpBody): HttpCall {
    val decoder = QueryStringDecoder(uri)
    return HttpCall(method, decoder.path(), decoder.parameters(), headers, body)
}

/** The first value of the query parameter [name], or null. */
public fun HttpCall.parameter(name: String): String? = query[name]?.firstOrNull()
