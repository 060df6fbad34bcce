package figdeck.model

/** The rate limit of a team across all hosts: [ratePerSecond] requests a second, with bursts of up to [burst]. */
public data class Limit(
    public val ratePerSecond: Double,
    public val burst: Int,
)
