package figdeck.query.serving

import figdeck.model.TeamId
import figdeck.model.serving.ServingTeam
import kotlin.math.roundToInt

/** The weight of a team with the median rate. */
private const val MEDIAN_WEIGHT = 100

/** A rate that is further from the median is not meant as a share: it stands for no limit, or for a blocked team. */
private const val MAX_RATIO_TO_MEDIAN = 10.0

/**
 * The shares of teams where online work finds no free slot, by their configured rates.
 *
 * @property byTeam the weights of the teams with a rate.
 * @property other the weight of teams without a rate and of requests without a team.
 */
public data class TeamWeights(
    private val byTeam: Map<TeamId, Int>,
    private val other: Int,
) {
    /** The weight of [team]. */
    public fun of(team: TeamId?): Int = byTeam[team] ?: other
}

/** The weights where no team has a rate. */
public val noTeamWeights: TeamWeights = TeamWeights(emptyMap(), other = 1)

/** The weights of [teams] in proportion to their rates. */
public fun teamWeights(teams: List<ServingTeam>): TeamWeights {
    val rates = teams.mapNotNull { team -> team.limit?.let { team.id to it.ratePerSecond } }
    val median = rates.map { (_, rate) -> rate }.sorted().let { it.getOrNull(it.size / 2) } ?: return noTeamWeights
    val weights = rates.associate { (team, rate) ->
        val ratio = (rate / median).coerceIn(1 / MAX_RATIO_TO_MEDIAN, MAX_RATIO_TO_MEDIAN)
        team to (MEDIAN_WEIGHT * ratio).roundToInt()
    }
    return TeamWeights(weights, other = MEDIAN_WEIGHT)
}
