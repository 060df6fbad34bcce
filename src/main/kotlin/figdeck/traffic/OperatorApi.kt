package figdeck.traffic

import figdeck.http.newHeaders
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal
import figdeck.traffic.command.ChangeServices
import figdeck.traffic.command.changeHandler
import figdeck.traffic.command.checkHandler
import figdeck.traffic.command.readGrant
import figdeck.traffic.command.readNamedTemplate
import figdeck.traffic.command.readRemoval
import figdeck.traffic.command.readWithdrawal
import figdeck.traffic.query.EXPLAIN_PREFIX
import figdeck.traffic.query.explainHandler
import figdeck.traffic.query.historyHandler
import figdeck.traffic.query.keyListHandler
import figdeck.traffic.query.statusHandler
import figdeck.traffic.query.templateHandler
import figdeck.traffic.query.templateListHandler
import java.security.MessageDigest

private const val UNAUTHORIZED = 401
private const val TEMPLATES = "/v1/templates"
private const val TEMPLATES_PREFIX = "/v1/templates/"
private const val KEYS = "/v1/keys"
private const val KEYS_PREFIX = "/v1/keys/"

/** A route of the operator API. The [handler] serves the calls that it [matches]. */
private data class OperatorRoute(
    val matches: (HttpCall) -> Boolean,
    val handler: HttpHandler,
)

/** Returns the handler of the operator API. Calls must carry [secret] as their bearer token. */
internal fun operatorApi(operations: OperatorServices, secret: String): HttpHandler {
    val routes = changeRoutes(operations.changes) + queryRoutes(operations.changes) + operationRoutes(operations)
    return { call, responder ->
        val route = routes.find { it.matches(call) }
        when {
            !isSecret(call.bearerKey(), secret) -> responder.respond(UNAUTHORIZED, newHeaders(), ByteArray(0))
            route != null -> route.handler(call, responder)
            else -> responder.refuse(Refusal.NotFound("${call.method} ${call.path}"))
        }
    }
}

private fun changeRoutes(changes: ChangeServices): List<OperatorRoute> = listOf(
    OperatorRoute(exactPath("POST", "$TEMPLATES/check"), changes.checkHandler()),
    OperatorRoute(pathPrefix("PUT", TEMPLATES_PREFIX), changes.changeHandler(readNamedTemplate(TEMPLATES_PREFIX))),
    OperatorRoute(pathPrefix("DELETE", TEMPLATES_PREFIX), changes.changeHandler(readRemoval(TEMPLATES_PREFIX))),
    OperatorRoute(exactPath("POST", KEYS), changes.changeHandler(readGrant)),
    OperatorRoute(pathPrefix("DELETE", KEYS_PREFIX), changes.changeHandler(readWithdrawal(KEYS_PREFIX))),
)

private fun queryRoutes(changes: ChangeServices): List<OperatorRoute> {
    val control = changes.store.control
    return listOf(
        OperatorRoute(exactPath("GET", TEMPLATES), templateListHandler(control)),
        OperatorRoute(pathPrefix("GET", TEMPLATES_PREFIX), templateHandler(control, TEMPLATES_PREFIX)),
        OperatorRoute(exactPath("GET", KEYS), keyListHandler(control)),
        OperatorRoute(exactPath("GET", "/v1/changes"), historyHandler(changes.store.platform.queries)),
        OperatorRoute(exactPath("GET", "/v1/status"), statusHandler(control, changes.store.clock)),
    )
}

private fun operationRoutes(operations: OperatorServices): List<OperatorRoute> = listOf(
    OperatorRoute(pathPrefix("GET", EXPLAIN_PREFIX), explainHandler(operations.records)),
    OperatorRoute(exactPath("GET", "/metrics")) { _, responder ->
        responder.respond(STATUS_OK, newHeaders(), operations.meters.scrape().encodeToByteArray())
    },
    OperatorRoute(exactPath("POST", "/v1/drain")) { _, responder ->
        operations.drain()
        responder.json("""{"draining":true}""")
    },
)

private fun exactPath(method: String, path: String): (HttpCall) -> Boolean = { it.method == method && it.path == path }

private fun pathPrefix(method: String, prefix: String): (HttpCall) -> Boolean =
    { it.method == method && it.path.startsWith(prefix) }

/**
 * Returns whether [presented] equals [secret]. The comparison takes constant time, so that its duration does not reveal
 * how much of the secret is right.
 */
internal fun isSecret(presented: String?, secret: String): Boolean =
    MessageDigest.isEqual(presented.orEmpty().encodeToByteArray(), secret.encodeToByteArray())
