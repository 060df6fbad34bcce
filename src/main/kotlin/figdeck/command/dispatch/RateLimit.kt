package figdeck.command.dispatch

import figdeck.model.HostId
import figdeck.model.UpstreamId
import figdeck.model.hashToUnit
import figdeck.model.serving.AdvertisedRate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The part of an advertised rate that the one host with the lease may use. */
private const val MAIN_SHARE = 0.9

/** The part that all other hosts share. They grant slots too while hosts can't reach each other or the store. */
private const val COMMON_SHARE = 1 - MAIN_SHARE

/** An upstream that takes next to nothing still gets a request now and then, whose answer tells if that has changed. */
private const val MIN_REQUESTS_PER_SECOND = 0.2

/** The most tokens that a bucket holds, in seconds of its rate. */
private const val HELD_SECONDS = 1.0

/** With a single token, batch work would take the one that online work needs next. */
private const val MIN_CAPACITY = 2.0

/** How long a host without the lease may use a token. Held for longer, the tokens of many hosts would add up. */
private val OWN_TOKEN_LIFETIME = 500.milliseconds

/**
 * This host's part of the requests per second that an upstream takes.
 *
 * @property capacity the most tokens that are held.
 * @property initialTokens the part of the first token, below 1, with which a new bucket starts.
 * @property tokenLifetime how long a token may be used; null if tokens are held. Only one is usable at a time then.
 */
public data class RateLimit(
    public val requestsPerSecond: Double,
    public val capacity: Double,
    public val initialTokens: Double = 0.0,
    public val tokenLifetime: Duration? = null,
)

/** Whether other hosts may use a larger part of the rate. */
public val RateLimit.isOwnPart: Boolean get() = tokenLifetime != null

/** The limit of the only host that holds the lease for the upstream's pool. */
public fun mainRateLimit(rate: AdvertisedRate.Limited): RateLimit {
    val perSecond = rate.usedPerSecond * MAIN_SHARE
    return RateLimit(perSecond, capacity = maxOf(MIN_CAPACITY, perSecond * HELD_SECONDS))
}

/**
 * The limit of [host], one of [hosts] hosts that may grant slots at [upstream] without the lease. The tokens of
 * different hosts come at different times.
 */
public fun ownRateLimit(rate: AdvertisedRate.Limited, hosts: Int, host: HostId, upstream: UpstreamId): RateLimit =
    RateLimit(
        requestsPerSecond = rate.usedPerSecond * COMMON_SHARE / hosts.coerceAtLeast(1),
        capacity = 1.0,
        initialTokens = hashToUnit(host, upstream.value),
        tokenLifetime = OWN_TOKEN_LIFETIME,
    )

private val AdvertisedRate.Limited.usedPerSecond: Double
    get() = requestsPerSecond.coerceAtLeast(MIN_REQUESTS_PER_SECOND)
