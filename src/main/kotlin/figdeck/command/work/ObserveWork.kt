package figdeck.command.work

import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.SlotUsage
import figdeck.model.serving.WorkFeatures
import kotlinx.collections.immutable.PersistentMap

/** Several times the routes of a deployment. A plan that renames its routes again and again takes no more memory. */
internal const val MAX_KNOWN_ROUTES = 64

/** The busiest of 22,000 teams. One that is seen less often has too few observations within the half-life anyway. */
internal const val MAX_KNOWN_TEAMS = 512

/** The state after [usage] was seen of work with [features] that ran for [team]. */
public fun observeWork(
    state: WorkEstimates,
    features: WorkFeatures,
    team: TeamId?,
    usage: SlotUsage,
    now: Moment,
): WorkEstimates {
    val observe = { history: WorkHistory -> history.observe(features, usage, now) }
    return if (usage.outputTokens <= 0) {
        state
    } else {
        WorkEstimates(
            routes = state.routes.update(features.route, MAX_KNOWN_ROUTES, usage.isWhole, observe),
            teams = team?.let {
                state.teams.update(TeamRoute(features.route, it), MAX_KNOWN_TEAMS, usage.isWhole, observe)
            } ?: state.teams,
        )
    }
}

/**
 * Changes the entry of [key], makes it the last one and drops the first one if there are more than [limit]. Adds an
 * entry only if [mayAdd]. The map keeps the order in which keys were put.
 */
private fun <K> PersistentMap<K, WorkHistory>.update(
    key: K,
    limit: Int,
    mayAdd: Boolean,
    change: (WorkHistory) -> WorkHistory,
): PersistentMap<K, WorkHistory> {
    val known = get(key)
    return if (known == null && !mayAdd) {
        this
    } else {
        val updated = remove(key).put(key, change(known ?: emptyHistory))
        if (updated.size > limit) updated.remove(updated.keys.first()) else updated
    }
}
