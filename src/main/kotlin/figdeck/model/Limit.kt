package figdeck.model

/** What a team may start across all hosts: [ratePerSecond] requests a second, and [burst] at once. */
public data class Limit(
    public val ratePerSecond: Double,
    public val burst: Int,
)
