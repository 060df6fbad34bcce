package figdeck.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import figdeck.daemon.command.jobs.ForwardItem
import figdeck.daemon.command.jobs.JobServices
import figdeck.daemon.command.jobs.Submission
import figdeck.daemon.command.jobs.endJob
import figdeck.daemon.command.jobs.submitAnywhere
import figdeck.daemon.command.serving.BodiesInFlight
import figdeck.daemon.query.jobs.answerWithResults
import figdeck.daemon.query.jobs.readItemBody
import figdeck.http.checkedHeaders
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.HttpClient
import figdeck.http.client.requestLine
import figdeck.http.newHeaders
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpResponder
import figdeck.http.server.parameter
import figdeck.http.setChecked
import figdeck.model.Refusal
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.model.serving.JobItem
import figdeck.query.serving.RouteAccess
import figdeck.query.serving.teamOf
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal const val RESULTS_PATH = "/lots/"
internal const val ITEM_BODY_PATH = "/items/"
private const val AFTER_PARAMETER = "After"
private const val ITEM_ID_PARAMETER = "Id"
private const val HTTP_OK = 200
private const val ACCEPTED = 202
private val MAX_RESULTS_WAIT = 1.seconds

/** Answers a call about a submitted job. */
internal typealias JobCallHandler = suspend (CallerHeaders, HttpResponder) -> Unit

/** The batch job API that the platform's callers use. */
internal class JobApi(private val services: JobServices) {
    /** The handler of [call] if it is about a submitted job; null otherwise. */
    fun handlerOf(call: HttpCall): JobCallHandler? {
        val path = call.path
        val handler = when {
            path.startsWith(RESULTS_PATH) && call.method == "GET" -> ::results
            path.startsWith(RESULTS_PATH) && call.method == "DELETE" -> ::end
            path.startsWith(ITEM_BODY_PATH) && call.method == "GET" -> ::itemBody
            else -> null
        }
        return handler?.let { respond -> { headers, responder -> respond(call, headers, responder) } }
    }

    /** Submits the job that [body] describes. */
    suspend fun submit(access: RouteAccess, headers: CallerHeaders, body: ByteArray, responder: HttpResponder) {
        parseSubmission(access, headers, body).flatMap { services.submitAnywhere(it) }.fold(
            { responder.refuse(it) },
            { responder.json(ACCEPTED, "{}") },
        )
    }

    private fun parseSubmission(
        access: RouteAccess,
        headers: CallerHeaders,
        body: ByteArray,
    ): Either<Refusal, Submission> {
        val team = access.team ?: return Refusal.MissingKey.left()
        return jobId(headers.id).flatMap { id ->
            decodeSubmission(body).map { items -> Submission(id, team, access.route, items, access.planVersion) }
        }
    }

    private suspend fun results(call: HttpCall, headers: CallerHeaders, responder: HttpResponder) {
        val after = call.parameter(AFTER_PARAMETER)?.toIntOrNull()?.coerceAtLeast(0) ?: 0
        val wait = call.headers.get(WAIT_HEADER)?.toLongOrNull()?.milliseconds ?: Duration.ZERO
        authenticateCaller(call, headers, RESULTS_PATH)
            .flatMap { (id, team) ->
                services.answerWithResults(id, team, after, minOf(wait, MAX_RESULTS_WAIT)) { page ->
                    responder.json(HTTP_OK, encodeResults(page))
                }
            }
            .onLeft { responder.refuse(it) }
    }

    private suspend fun itemBody(call: HttpCall, headers: CallerHeaders, responder: HttpResponder) {
        authenticateCaller(call, headers, ITEM_BODY_PATH)
            .flatMap { (id, team) -> services.readItemBody(id, team, call.parameter(ITEM_ID_PARAMETER).orEmpty()) }
            .fold({ responder.refuse(it) }, { responder.respond(HTTP_OK, newHeaders(), it) })
    }

    private suspend fun end(call: HttpCall, headers: CallerHeaders, responder: HttpResponder) {
        authenticateCaller(call, headers, RESULTS_PATH)
            .flatMap { (id, team) -> services.endJob(id, team) }
            .fold({ responder.refuse(it) }, { responder.json(HTTP_OK, "{}") })
    }

    private fun authenticateCaller(call: HttpCall, headers: CallerHeaders, prefix: String): Either<Refusal, JobCaller> {
        val index = services.control.snapshot.index ?: return Refusal.StaleConfiguration.left()
        return index.teamOf(headers.key).flatMap { team ->
            jobId(call.path.removePrefix(prefix)).map { JobCaller(it, team.id) }
        }
    }

    private data class JobCaller(
        val id: JobId,
        val team: TeamId,
    )
}

/** Returns a function that sends items of batch jobs to upstreams as POST requests. */
internal fun httpItemForwarder(
    client: HttpClient,
    bodiesInFlight: BodiesInFlight = BodiesInFlight(),
): ForwardItem = { call, options, handleReply ->
    forwardedRequest(call.item)
        .flatMap { request -> request.headers.setChecked(HttpHeaderNames.HOST, call.route.host).map { request } }
        .mapLeft { ExchangeFailure.NotSent(it) }
        .flatMap { request ->
            val outgoing = options.toOutgoingRequest(request.copy(team = call.team), call.item.body)
            bodiesInFlight.withRoom(options, call.item.body) {
                val expected = ExpectedReply(call.item.id, options.upstream.id, expectedWeightsOf(call.item))
                client.exchange(outgoing) { reply -> handleReply(upstreamReply(reply, expected)) }
            }
        }
}

/** The reason why [item] can't be sent to any upstream; null if it can. */
internal fun sendFaultOf(item: JobItem): String? = forwardedRequest(item).leftOrNull()

/** The request of [item], whose texts come from a caller or a row, or the reason why it may not be sent. */
private fun forwardedRequest(item: JobItem): Either<String, ForwardedRequest> = either {
    val line = requestLine("POST", item.path).bind()
    ensure(item.id.isNotEmpty() && item.id.trim() == item.id) { "its id is empty, or begins or ends with a space" }
    // A Connection header of the item could otherwise name the headers that the gateway sets.
    val headers = forwardableHeaders(checkedHeaders(item.headers).bind())
    ForwardedRequest(line, headers.setChecked(ATTEMPT_ID_HEADER, item.id).bind(), team = null)
}

private fun jobId(text: String): Either<Refusal, JobId> = try {
    JobId(text).right()
} catch (e: IllegalArgumentException) {
    Refusal.BadRequest(ATTEMPT_ID_HEADER, e.message ?: "not an id").left()
}

private suspend fun HttpResponder.json(status: Int, body: String) {
    respond(status, newHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json"), body.encodeToByteArray())
}
