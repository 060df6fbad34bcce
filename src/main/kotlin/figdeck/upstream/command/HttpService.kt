package figdeck.upstream.command

import arrow.core.Either
import arrow.core.flatMap
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.client.requestLine
import figdeck.http.readAll
import figdeck.http.setChecked
import figdeck.model.CallResult
import figdeck.model.RequestId
import figdeck.model.Upstream
import figdeck.model.Work
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration.Companion.seconds

private const val MAX_RESPONSE_BYTES = 1024 * 1024
private val RESPONSE_HEAD_TIMEOUT = 10.seconds

/**
 * Runs [call] at a plain service, authenticated with figdeck's own [credential]. Services need not return the id of the
 * request, so only a connection of its own shows which request an answer belongs to.
 */
internal suspend fun callOverHttp(
    client: HttpClient,
    credential: String,
    upstream: Upstream,
    request: RequestId,
    call: Work.ServiceCall,
): CallResult<ServiceResponse> = requestLine(call.method, call.path)
    .flatMap { line ->
        upstreamHeaders(credential, request.value).setChecked(HttpHeaderNames.CONTENT_TYPE, call.contentType)
            .map { headers -> outgoingRequest(upstream, line, headers, call) }
    }
    .fold({ CallResult.NotDone(it) }, { client.callService(it) })

private fun outgoingRequest(
    upstream: Upstream,
    line: RequestLine,
    headers: HttpHeaders,
    call: Work.ServiceCall,
): OutgoingRequest = OutgoingRequest(
    address = upstream.address,
    line = line,
    headers = headers,
    body = call.body.encodeToByteArray(),
    freshConnection = true,
    headTimeout = RESPONSE_HEAD_TIMEOUT,
)

private suspend fun HttpClient.callService(request: OutgoingRequest): CallResult<ServiceResponse> {
    val result = exchange(request) { reply ->
        reply.body.readAll(MAX_RESPONSE_BYTES).map { body ->
            val contentType = reply.headers.get(HttpHeaderNames.CONTENT_TYPE).orEmpty()
            ServiceResponse(reply.status, contentType, body.decodeToString())
        }
    }
    return when (result) {
        is Either.Right -> result.value.fold(
            { CallResult.Unknown("the answer is over ${it.limitBytes} bytes") },
            { CallResult.Done(it) },
        )
        is Either.Left -> result.value.toCallResult()
    }
}

/** Converts a failed exchange to the result of the call. */
internal fun ExchangeFailure.toCallResult(): CallResult<Nothing> = when (this) {
    is ExchangeFailure.NotSent -> CallResult.NotDone(reason)
    is ExchangeFailure.Lost -> CallResult.Unknown(reason)
}
