package figdeck.daemon.command.batch

import figdeck.http.HttpBody
import figdeck.model.Team

/**
 * A batch job as a caller submits it.
 *
 * @property body the items, one JSON object per line.
 */
internal data class BatchSubmission(
    val team: Team,
    val idempotencyKey: String?,
    val body: HttpBody,
)
