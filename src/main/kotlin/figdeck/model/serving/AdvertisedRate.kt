package figdeck.model.serving

/** What an upstream says in an answer about the requests that it takes from all hosts together. */
public sealed interface AdvertisedRate {
    /** It names no limit. */
    public data object Unlimited : AdvertisedRate

    /** It takes [requestsPerSecond], which may be 0. */
    public data class Limited(public val requestsPerSecond: Double) : AdvertisedRate {
        init {
            require(requestsPerSecond.isFinite() && requestsPerSecond >= 0) {
                "$requestsPerSecond requests per second are out of range: a finite number of 0 or more is possible"
            }
        }
    }
}
