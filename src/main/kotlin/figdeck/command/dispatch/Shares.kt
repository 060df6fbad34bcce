package figdeck.command.dispatch

import figdeck.model.TeamId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

private const val MOST_ACCOUNTS = 64

/**
 * Start-time fair queueing across teams.
 *
 * @property virtualTime the account of the team that was served last, before it was charged.
 * @property accounts the tokens that each team was charged, divided by its weight.
 */
public data class Shares(
    public val virtualTime: Double,
    public val accounts: PersistentMap<TeamId?, Double>,
)

/** Shares before any team was served. */
public val noShares: Shares = Shares(0.0, persistentMapOf())

/** What [team] was charged; a team that was idle starts level with the one served last. */
public fun Shares.account(team: TeamId?): Double = maxOf(accounts[team] ?: 0.0, virtualTime)

/** Charges the start of work of [cost] to its team. */
public fun Shares.charge(team: TeamId?, cost: Int, weight: Int): Shares {
    val start = account(team)
    val charged = accounts.put(team, start + cost.toDouble() / weight)
    val kept = if (charged.size > MOST_ACCOUNTS) charged.filterValues { it > start }.toPersistentMap() else charged
    return Shares(start, kept)
}

/** Corrects an earlier charge by [difference] tokens, now that the true cost is known. */
public fun Shares.correct(team: TeamId?, difference: Int, weight: Int): Shares {
    val account = accounts[team] ?: return this
    return copy(accounts = accounts.put(team, account + difference.toDouble() / weight))
}
