package figdeck.command.dispatch

import figdeck.model.TeamId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

private const val MAX_FINISH_TAGS = 64

/**
 * Start-time fair queueing across teams.
 *
 * @property virtualTime the account of the team that was served last, before it was charged.
 * @property finishTags the tokens that each team was charged, divided by its weight.
 */
public data class FairShares(
    public val virtualTime: Double,
    public val finishTags: PersistentMap<TeamId?, Double>,
)

/** Shares before any team was served. */
public val initialShares: FairShares = FairShares(0.0, persistentMapOf())

/** What [team] was charged; a team that was idle starts level with the one served last. */
public fun FairShares.startTag(team: TeamId?): Double = maxOf(finishTags[team] ?: 0.0, virtualTime)

/** Charges the start of work of [cost] to its team. */
public fun FairShares.charge(team: TeamId?, cost: Int, weight: Int): FairShares {
    val start = startTag(team)
    val charged = finishTags.put(team, start + cost.toDouble() / weight)
    val kept = if (charged.size > MAX_FINISH_TAGS) charged.filterValues { it > start }.toPersistentMap() else charged
    return FairShares(start, kept)
}

/** Corrects an earlier charge by [difference] tokens, now that the true cost is known. */
public fun FairShares.correct(team: TeamId?, difference: Int, weight: Int): FairShares {
    val finishTag = finishTags[team] ?: return this
    return copy(finishTags = finishTags.put(team, finishTag + difference.toDouble() / weight))
}
