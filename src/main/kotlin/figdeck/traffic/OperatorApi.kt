package figdeck.traffic

import figdeck.daemon.query.tableRecords
import figdeck.http.newHeaders
import figdeck.http.server.HttpCall
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal
import figdeck.telemetry.Meters
import figdeck.traffic.command.Changing
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

/** One thing that operators can ask: the [handler] of the calls that it [matches]. */
private data class OperatorRoute(
    val matches: (HttpCall) -> Boolean,
    val handler: HttpHandler,
)

/** What operators can ask of a daemon, with the [secret] as bearer key. */
internal fun operatorApi(changing: Changing, meters: Meters, secret: String): HttpHandler {
    val routes = changeRoutes(changing) + viewRoutes(changing) + metricsRoute(meters)
    return { call, responder ->
        val route = routes.find { it.matches(call) }
        when {
            !matches(call.bearerKey(), secret) -> responder.full(UNAUTHORIZED, newHeaders(), ByteArray(0))
            route != null -> route.handler(call, responder)
            else -> responder.refuse(Refusal.NotFound("${call.method} ${call.path}"))
        }
    }
}

private fun changeRoutes(changing: Changing): List<OperatorRoute> = listOf(
    OperatorRoute(at("POST", "$TEMPLATES/check"), changing.checkHandler()),
    OperatorRoute(below("PUT", TEMPLATES_PREFIX), changing.changeHandler(readNamedTemplate(TEMPLATES_PREFIX))),
    OperatorRoute(below("DELETE", TEMPLATES_PREFIX), changing.changeHandler(readRemoval(TEMPLATES_PREFIX))),
    OperatorRoute(at("POST", KEYS), changing.changeHandler(readGrant)),
    OperatorRoute(below("DELETE", KEYS_PREFIX), changing.changeHandler(readWithdrawal(KEYS_PREFIX))),
)

private fun viewRoutes(changing: Changing): List<OperatorRoute> {
    val control = changing.store.control
    val queries = changing.store.platform.queries
    return listOf(
        OperatorRoute(below("GET", EXPLAIN_PREFIX), explainHandler(tableRecords(queries))),
        OperatorRoute(at("GET", TEMPLATES), templateListHandler(control)),
        OperatorRoute(below("GET", TEMPLATES_PREFIX), templateHandler(control, TEMPLATES_PREFIX)),
        OperatorRoute(at("GET", KEYS), keyListHandler(control)),
        OperatorRoute(at("GET", "/v1/changes"), historyHandler(queries)),
        OperatorRoute(at("GET", "/v1/status"), statusHandler(control, changing.store.clock)),
    )
}

private fun metricsRoute(meters: Meters) = OperatorRoute(at("GET", "/metrics")) { _, responder ->
    responder.full(STATUS_OK, newHeaders(), meters.scrape().encodeToByteArray())
}

private fun at(method: String, path: String): (HttpCall) -> Boolean = { it.method == method && it.path == path }

private fun below(method: String, prefix: String): (HttpCall) -> Boolean =
    { it.method == method && it.path.startsWith(prefix) }

/** Compares in a time that doesn't depend on where the two differ. */
internal fun matches(shown: String?, secret: String): Boolean =
    MessageDigest.isEqual(shown.orEmpty().encodeToByteArray(), secret.encodeToByteArray())
