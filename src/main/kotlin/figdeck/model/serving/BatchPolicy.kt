package figdeck.model.serving

import kotlin.time.Duration

/**
 * What a route promises of its batch jobs.
 *
 * @property dueWithin how long after its submission all results of a job are due.
 * @property abandonAfter how long after the submission an item may be given up.
 * @property maxWaitingTokens the tokens of a team that may wait on the route across all hosts; null for no limit.
 */
public data class BatchPolicy(
    public val dueWithin: Duration,
    public val abandonAfter: Duration,
    public val maxWaitingTokens: Long?,
)
