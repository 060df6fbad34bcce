package figdeck.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import figdeck.daemon.command.jobs.ForwardItem
import figdeck.daemon.command.jobs.JobServices
import figdeck.daemon.command.jobs.Submission
import figdeck.daemon.command.jobs.endJob
import figdeck.daemon.command.jobs.submit
import figdeck.daemon.query.jobs.readItemBody
import figdeck.daemon.query.jobs.readResults
import figdeck.http.client.HttpClient
import figdeck.http.newHeaders
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpResponder
import figdeck.http.server.parameter
import figdeck.model.Refusal
import figdeck.model.TeamId
import figdeck.model.serving.JobId
import figdeck.query.serving.RouteAccess
import figdeck.query.serving.teamOf
import io.netty.handler.codec.http.HttpHeaderNames
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal const val RESULTS_PATH = "/lots/"
internal const val ITEM_BODY_PATH = "/items/"
private const val POSITION = "After"
private const val ITEM = "Id"
private const val OK = 200
private const val ACCEPTED = 202
private val LONGEST_WAIT = 1.seconds

/** The calls of batch jobs, as the platform's clients make them. */
internal class JobApi(private val services: JobServices) {
    /** Answers a call about a job that was handed in before; false for any other call. */
    suspend fun answer(call: HttpCall, head: CallerHead, responder: HttpResponder): Boolean {
        val path = call.path
        val handled = when {
            path.startsWith(RESULTS_PATH) && call.method == "GET" -> ::results
            path.startsWith(RESULTS_PATH) && call.method == "DELETE" -> ::end
            path.startsWith(ITEM_BODY_PATH) && call.method == "GET" -> ::itemBody
            else -> null
        }
        handled?.let { respond -> respond(call, head, responder) }
        return handled != null
    }

    /** Takes a job that came in as [body]. */
    suspend fun submit(access: RouteAccess, head: CallerHead, body: ByteArray, responder: HttpResponder) {
        submission(access, head, body).flatMap { services.submit(it) }.fold(
            { responder.refuse(it) },
            { responder.json(ACCEPTED, "{}") },
        )
    }

    private fun submission(access: RouteAccess, head: CallerHead, body: ByteArray): Either<Refusal, Submission> {
        val team = access.team ?: return Refusal.MissingKey.left()
        return jobId(head.id).flatMap { id ->
            decodeSubmission(body).map { items -> Submission(id, team, access.route, items) }
        }
    }

    private suspend fun results(call: HttpCall, head: CallerHead, responder: HttpResponder) {
        val after = call.parameter(POSITION)?.toIntOrNull()?.coerceAtLeast(0) ?: 0
        val wait = call.headers.get(WAIT)?.toLongOrNull()?.milliseconds ?: Duration.ZERO
        caller(call, head, RESULTS_PATH)
            .flatMap { (id, team) -> services.readResults(id, team, after, minOf(wait, LONGEST_WAIT)) }
            .fold({ responder.refuse(it) }, { responder.json(OK, encodeResults(it)) })
    }

    private suspend fun itemBody(call: HttpCall, head: CallerHead, responder: HttpResponder) {
        caller(call, head, ITEM_BODY_PATH)
            .flatMap { (id, team) -> services.readItemBody(id, team, call.parameter(ITEM).orEmpty()) }
            .fold({ responder.refuse(it) }, { responder.respond(OK, newHeaders(), it) })
    }

    private suspend fun end(call: HttpCall, head: CallerHead, responder: HttpResponder) {
        caller(call, head, RESULTS_PATH)
            .flatMap { (id, team) -> services.endJob(id, team) }
            .fold({ responder.refuse(it) }, { responder.json(OK, "{}") })
    }

    private fun caller(call: HttpCall, head: CallerHead, prefix: String): Either<Refusal, JobCaller> {
        val index = services.control.snapshot.index ?: return Refusal.StaleConfiguration.left()
        return index.teamOf(head.key).flatMap { team ->
            jobId(call.path.removePrefix(prefix)).map { JobCaller(it, team.id) }
        }
    }

    private data class JobCaller(
        val id: JobId,
        val team: TeamId,
    )
}

/** Posts items to upstreams. */
internal fun httpItems(client: HttpClient): ForwardItem = { call, order, use ->
    val original = newHeaders()
    call.item.headers.forEach { (name, value) -> original.set(name, value) }
    original.set(ATTEMPT_ID, call.item.id).set(HttpHeaderNames.HOST, call.route.host)
    val head = UpstreamHead("POST", call.item.path, original, call.team)
    client.exchange(order.toRequest(head, call.item.body)) { reply -> use(upstreamReply(reply, call.item.id)) }
}

private fun jobId(text: String): Either<Refusal, JobId> = try {
    JobId(text).right()
} catch (e: IllegalArgumentException) {
    Refusal.BadRequest(ATTEMPT_ID, e.message ?: "not an id").left()
}

private suspend fun HttpResponder.json(status: Int, text: String) {
    respond(status, newHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json"), text.encodeToByteArray())
}
