package figdeck.traffic.command

import arrow.core.getOrElse
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.confirmConfiguration
import figdeck.daemon.query.CONFIGURATION_KEY
import figdeck.http.readAll
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpResponder
import figdeck.model.ABSENT
import figdeck.model.CallResult
import figdeck.model.CommitReply
import figdeck.model.Configuration
import figdeck.model.Refusal
import figdeck.model.Row
import figdeck.model.RowCheck
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.Template
import figdeck.model.emptyConfiguration
import figdeck.platform.Platform
import figdeck.traffic.json
import figdeck.traffic.refuse
import figdeck.wire.command.decodeConfiguration
import figdeck.wire.command.decodeTemplate
import figdeck.wire.command.encodeConfiguration
import kotlin.time.Duration.Companion.seconds

private const val MAX_TEMPLATE_BYTES = 16 * 1024 * 1024

/** Handles `PUT /v1/templates/{name}`. */
internal fun applyTemplateHandler(
    control: Control<ControlState>,
    platform: Platform
): HttpHandler = { call, responder ->
    call.body.readAll(MAX_TEMPLATE_BYTES).fold(
        { responder.refuse(Refusal.BodyTooLarge(it.limitBytes)) },
        { body ->
            decodeTemplate(body.decodeToString()).fold(
                { faults -> responder.refuse(Refusal.BadRequest("template", faults.joinToString("; "))) },
                { template -> apply(control, platform, template, responder) },
            )
        },
    )
}

private suspend fun apply(
    control: Control<ControlState>,
    platform: Platform,
    template: Template,
    responder: HttpResponder,
) {
    val read = platform.queries.readRow(CONFIGURATION_KEY)
    if (read !is CallResult.Done) {
        responder.refuse(Refusal.StoreUnavailable(1.seconds))
        return
    }
    val row = read.value.value
    val current = row?.let { decodeConfiguration(it.value).getOrElse { emptyConfiguration } } ?: emptyConfiguration
    val next = Configuration(current.revision.next(), current.templates.put(template.name, template))
    val reply = platform.commands.commit(replacing(row, next))
    if (reply is CallResult.Done && reply.value is CommitReply.Committed) {
        control.run { state, now -> confirmConfiguration(state, next, now) }
        responder.json("""{"revision":${next.revision}}""")
    } else {
        responder.refuse(Refusal.StoreUnavailable(1.seconds))
    }
}

private fun replacing(row: Row?, next: Configuration): TableTransaction = TableTransaction(
    checks = listOf(RowCheck(CONFIGURATION_KEY, row?.version ?: ABSENT)),
    writes = listOf(RowWrite(CONFIGURATION_KEY, encodeConfiguration(next))),
)
