package figdeck.traffic

import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.http.newHeaders
import figdeck.http.server.HttpHandler
import figdeck.model.Refusal
import figdeck.platform.Platform
import figdeck.telemetry.Meters
import figdeck.traffic.command.applyTemplateHandler
import java.security.MessageDigest

private const val UNAUTHORIZED = 401
private const val TEMPLATES_PREFIX = "/v1/templates/"

/** What operators can ask of a daemon, with the [secret] as bearer key. */
internal fun operatorApi(
    control: Control<ControlState>,
    platform: Platform,
    meters: Meters,
    secret: String
): HttpHandler {
    val apply = applyTemplateHandler(control, platform)
    return { call, responder ->
        when {
            !matches(call.bearerKey(), secret) -> responder.full(UNAUTHORIZED, newHeaders(), ByteArray(0))
            call.method == "PUT" && call.path.startsWith(TEMPLATES_PREFIX) -> apply(call, responder)
            call.method == "GET" && call.path == "/metrics" ->
                responder.full(STATUS_OK, newHeaders(), meters.scrape().encodeToByteArray())
            call.method == "GET" && call.path == "/v1/status" ->
                responder.json("""{"host":"${control.snapshot.host}","revision":${control.snapshot.index.revision}}""")
            else -> responder.refuse(Refusal.NotFound("${call.method} ${call.path}"))
        }
    }
}

/** Compares in a time that doesn't depend on where the two differ. */
internal fun matches(shown: String?, secret: String): Boolean =
    MessageDigest.isEqual(shown.orEmpty().encodeToByteArray(), secret.encodeToByteArray())
