package figdeck.command.limit

import figdeck.command.Step
import figdeck.model.Moment
import figdeck.model.TeamId
import kotlinx.collections.immutable.PersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val MAX_EXTRA_TOKENS = 1_000
private val DEMAND_HORIZON = 50.milliseconds
private val MAX_DEMAND_AGE = 1_000.milliseconds

/**
 * Tokens of a team's limit that were granted to this host.
 *
 * @property tokens the tokens that are not spent yet. They may be spent before [expiresAt] only.
 * @property requestCount the number of requests since [drawnAt], which determines the size of the next draw.
 */
public data class HeldGrant(
    public val tokens: Int,
    public val expiresAt: Moment,
    public val requestCount: Int,
    public val drawnAt: Moment,
)

/** The granted tokens of this host, by team. */
public data class HeldGrants(public val grants: PersistentMap<TeamId, HeldGrant>)

/** Spends one held token of [team]. The result is false if there is none. */
public fun spendHeldToken(state: HeldGrants, team: TeamId, now: Moment): Step<HeldGrants, Boolean> {
    val held = state.grants[team] ?: HeldGrant(0, now, 0, now)
    val hasToken = held.tokens > 0 && now < held.expiresAt
    val left = held.copy(tokens = if (hasToken) held.tokens - 1 else 0, requestCount = held.requestCount + 1)
    return Step(HeldGrants(state.grants.put(team, left)), hasToken)
}

/** How many tokens to draw beyond those that requests wait for: the demand expected within [DEMAND_HORIZON]. */
public fun planPrefetch(state: HeldGrants, team: TeamId, now: Moment): Step<HeldGrants, Int> {
    val held = state.grants[team]
    val since = held?.let { now - it.drawnAt } ?: Duration.INFINITE
    val isRecent = held != null && since < MAX_DEMAND_AGE && held.requestCount > 1
    val extra = if (isRecent) (held.requestCount * (DEMAND_HORIZON / maxOf(since, DEMAND_HORIZON))).toInt() else 0
    val drawn = held?.let { HeldGrants(state.grants.put(team, it.copy(requestCount = 0, drawnAt = now))) } ?: state
    return Step(drawn, extra.coerceIn(0, MAX_EXTRA_TOKENS))
}

/** Adds [count] granted tokens of [team] that expire at [expiresAt]. All held tokens expire with the earliest grant. */
public fun addGrantedTokens(state: HeldGrants, team: TeamId, count: Int, expiresAt: Moment, now: Moment): HeldGrants {
    val held = state.grants[team]
    val isValid = held != null && held.tokens > 0 && now < held.expiresAt
    val expiry = if (isValid && held.expiresAt < expiresAt) held.expiresAt else expiresAt
    val tokens = count + if (isValid) held.tokens else 0
    val kept = HeldGrant(tokens, expiry, held?.requestCount ?: 0, held?.drawnAt ?: now)
    return HeldGrants(state.grants.put(team, kept))
}
