package figdeck.daemon.command.batch

import figdeck.http.HttpBody
import figdeck.model.Team

/** An upload as a caller sends it. */
internal data class BatchSubmission(
    val team: Team,
    val idempotencyKey: String?,
    val body: HttpBody,
)
