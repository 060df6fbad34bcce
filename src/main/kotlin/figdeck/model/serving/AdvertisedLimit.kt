package figdeck.model.serving

import figdeck.model.Moment
import kotlin.time.Duration

/**
 * What a host knows of the requests that an upstream takes.
 *
 * @property heardAt when the answer with a limit arrived. For an answer without one, when its request was sent: such an
 * answer may have been on its way for longer than a later one that names a limit.
 */
public data class AdvertisedLimit(
    public val rate: AdvertisedRate,
    public val heardAt: Moment,
)

/**
 * An [AdvertisedLimit] as hosts tell it each other, whose clocks differ.
 *
 * @property age how long ago it was heard.
 */
public data class ReportedLimit(
    public val rate: AdvertisedRate,
    public val age: Duration,
)

/** This limit as it is reported at [now]. */
public fun AdvertisedLimit.reportedAt(now: Moment): ReportedLimit = ReportedLimit(rate, now - heardAt)

/** This limit, reported by another host, as it is known at [now]. */
public fun ReportedLimit.receivedAt(now: Moment): AdvertisedLimit = AdvertisedLimit(rate, now + -age)
