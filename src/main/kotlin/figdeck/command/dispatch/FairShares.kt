package figdeck.command.dispatch

import figdeck.model.TeamId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

private const val MAX_FINISH_TAGS = 64

/**
 * The state of start-time fair queueing across teams.
 *
 * @property virtualTime the start tag of the request that was served last.
 * @property finishTags the finish tag of each team: its start tag plus the charged tokens divided by its weight.
 */
public data class FairShares(
    public val virtualTime: Double,
    public val finishTags: PersistentMap<TeamId?, Double>,
)

/** The state before any team was served. */
public val initialShares: FairShares = FairShares(0.0, persistentMapOf())

/** The start tag of the next request of [team]. A team that was idle starts at the current virtual time. */
public fun FairShares.startTag(team: TeamId?): Double = maxOf(finishTags[team] ?: 0.0, virtualTime)

/** Charges [cost] tokens to [team] when its work starts. */
public fun FairShares.charge(team: TeamId?, cost: Int, weight: Int): FairShares {
    val start = startTag(team)
    val charged = finishTags.put(team, start + cost.toDouble() / weight)
    val kept = if (charged.size > MAX_FINISH_TAGS) charged.filterValues { it > start }.toPersistentMap() else charged
    return FairShares(start, kept)
}

/** Corrects an earlier charge by [difference] tokens once the actual cost is known. */
public fun FairShares.correct(team: TeamId?, difference: Int, weight: Int): FairShares {
    val finishTag = finishTags[team] ?: return this
    return copy(finishTags = finishTags.put(team, finishTag + difference.toDouble() / weight))
}
