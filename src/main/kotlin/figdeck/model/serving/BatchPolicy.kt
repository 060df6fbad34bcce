package figdeck.model.serving

import kotlin.time.Duration

/**
 * The guarantees and limits of the batch jobs on a route.
 *
 * @property dueWithin the time after the submission of a job by which all of its results are due.
 * @property abandonAfter the time after the submission from which an item may be abandoned.
 * @property maxWaitingTokens the maximum number of tokens of a team that may wait on the route across all hosts; null
 * for no limit.
 */
public data class BatchPolicy(
    public val dueWithin: Duration,
    public val abandonAfter: Duration,
    public val maxWaitingTokens: Long?,
)
