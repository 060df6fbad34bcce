package figdeck.command.dispatch

private const val MAX_RETRIES = 20.0
private const val RETRIES_PER_REQUEST = 0.2

/** How many retries may still be sent. Retries stay a fixed part of all requests, so they can't feed an overload. */
public data class RetryBudget(public val retries: Double)

/** The budget at the start. */
public val fullRetryBudget: RetryBudget = RetryBudget(MAX_RETRIES)

/** The budget after a request with this [attempt] number, or null if it may not be sent. */
public fun RetryBudget.spend(attempt: Int): RetryBudget? = when {
    attempt == 0 -> RetryBudget(minOf(retries + RETRIES_PER_REQUEST, MAX_RETRIES))
    retries >= 1 -> RetryBudget(retries - 1)
    else -> null
}
