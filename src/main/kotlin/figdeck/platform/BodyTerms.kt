package figdeck.platform

import figdeck.command.serving.BodyUse
import kotlin.time.Duration

/**
 * What decides about the body of a call.
 *
 * @property isSubmission whether the body is decoded and stored as a batch job, rather than forwarded.
 * @property timeLeft the time until the caller's deadline.
 */
internal data class BodyTerms(
    val maxBytes: Int,
    val isSubmission: Boolean,
    val timeLeft: Duration,
) {
    val useWhileRead: BodyUse get() = if (isSubmission) BodyUse.SUBMIT else BodyUse.READ
    val useAfterRead: BodyUse get() = if (isSubmission) BodyUse.SUBMIT else BodyUse.FORWARD
}
