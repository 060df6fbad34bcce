package figdeck.command.dispatch

private const val MAX_RETRIES = 20.0
private const val RETRIES_PER_REQUEST = 0.2

/**
 * The number of retries that may still be sent. Limiting retries to a fixed fraction of all requests prevents them from
 * amplifying an overload.
 */
public data class RetryBudget(public val retries: Double)

/** The initial budget. */
public val fullRetryBudget: RetryBudget = RetryBudget(MAX_RETRIES)

/** The budget after a request with this [attempt] number, or null if the budget is exhausted. */
public fun RetryBudget.spend(attempt: Int): RetryBudget? = when {
    attempt == 0 -> RetryBudget(minOf(retries + RETRIES_PER_REQUEST, MAX_RETRIES))
    retries >= 1 -> RetryBudget(retries - 1)
    else -> null
}
