package figdeck.daemon.command.jobs

import figdeck.model.Known
import figdeck.model.Refusal
import figdeck.model.serving.RelayAnswer
import figdeck.model.serving.RelayedSubmission
import kotlin.time.Duration.Companion.milliseconds

/** How long writes for another host are retried. With the last write it is less than that host waits for the answer. */
private val RELAYED_STORE_TIMEOUT = 300.milliseconds

/**
 * Stores a job for a host that doesn't reach the store, as if its caller had submitted it here. It is declined if this
 * host lacks the store too, knows an older plan, is stopping, or stores other such jobs already.
 */
internal suspend fun JobServices.acceptRelayed(relayed: RelayedSubmission): RelayAnswer {
    val submission = if (control.snapshot.stop == null && !lacksStore()) submissionOf(relayed) else null
    return if (submission == null || !acceptedRelays.tryAcquire()) {
        RelayAnswer.NOT_STORED
    } else {
        try {
            submit(submission) { persist(it, submission, RELAYED_STORE_TIMEOUT) }
                .fold({ answerOf(it) }, { RelayAnswer.STORED })
        } finally {
            acceptedRelays.release()
        }
    }
}

private fun JobServices.submissionOf(relayed: RelayedSubmission): Submission? {
    val index = control.snapshot.index
    val route = (index?.route(relayed.route, relayed.planVersion) as? Known.Present)?.value
    val team = index?.teams?.get(relayed.team)
    return if (route == null || team == null) {
        null
    } else {
        Submission(relayed.id, team, route, relayed.items, relayed.planVersion)
    }
}

private fun answerOf(refusal: Refusal): RelayAnswer =
    if (refusal is Refusal.Unconfirmed) RelayAnswer.UNKNOWN else RelayAnswer.NOT_STORED
