package figdeck.query.work

import figdeck.command.work.TeamRoute
import figdeck.command.work.WorkBasis
import figdeck.command.work.WorkEstimates
import figdeck.command.work.WorkHistory
import figdeck.command.work.explainedShare
import figdeck.command.work.hintSlope
import figdeck.command.work.isUsable
import figdeck.command.work.logMean
import figdeck.command.work.logVariance
import figdeck.command.work.mean
import figdeck.command.work.quantile
import figdeck.command.work.totalWeight
import figdeck.command.work.usableHint
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.ExpectedWork
import figdeck.model.serving.WorkFeatures
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.roundToInt
import kotlin.math.sqrt

/** How much longer than the hint a long output is assumed to be while nothing is known about the hints. */
private const val HINT_MARGIN = 2
private const val UPPER_QUANTILE = 0.9

/** The weight of a team's ratios at which half of their difference from those of the route is believed. */
private const val TEAM_RATIO_PRIOR_WEIGHT = 2.0

/** A hint moves the mean no further than to these quantiles of the lengths that were seen. */
private const val LOWEST_HINTED_QUANTILE = 0.1
private const val HIGHEST_HINTED_QUANTILE = 0.9

/**
 * The work that a request with [features] of [team] is expected to cause. It rests on the history of the team within
 * the route, on that of the route if too little is known about the team, on the hint if too little is known about the
 * route, and on half of the maximum without a hint.
 */
public fun expectedWork(state: WorkEstimates, features: WorkFeatures, team: TeamId?, now: Moment): ExpectedWork {
    val ofTeam = team?.let { state.teams[TeamRoute(features.route, it)] }
    val ofRoute = state.routes[features.route]?.takeIf { it.isUsable(now) }
    return when {
        ofTeam != null && ofTeam.isUsable(now) -> learnedWork(ofTeam, features, features.usableHint?.toDouble(), now)
        ofRoute != null -> learnedWork(ofRoute, features, ofRoute.calibratedHint(features, ofTeam, now), now)
        else -> unlearnedWork(features)
    }
}

/**
 * The hint, corrected for a team that has too few observations for an estimate of its own, as far as its ratios differ
 * from those of its route. So a team can't keep its requests ahead with false hints by sending few of them.
 */
private fun WorkHistory.calibratedHint(features: WorkFeatures, ofTeam: WorkHistory?, now: Moment): Double? {
    val weight = ofTeam?.ratios?.totalWeight(now) ?: 0.0
    val difference = if (ofTeam != null && weight > 0) ofTeam.ratios.logMean() - ratios.logMean() else 0.0
    return features.usableHint?.let { it * exp(difference * weight / (weight + TEAM_RATIO_PRIOR_WEIGHT)) }
}

/** The expected work of a route that is not known yet: what its hint says, or half of the maximum. */
private fun unlearnedWork(features: WorkFeatures): ExpectedWork {
    val hint = features.usableHint?.coerceIn(1, features.longest)
    return ExpectedWork(
        promptTokens = features.promptTokens,
        outputTokens = hint ?: (features.longest - features.longest / 2),
        upperOutputTokens = hint?.let { minOf(it.toLong() * HINT_MARGIN, features.longest.toLong()).toInt() }
            ?: features.longest,
    )
}

private fun learnedWork(history: WorkHistory, features: WorkFeatures, hint: Double?, now: Moment): ExpectedWork {
    val longest = features.longest.toDouble()
    val mean = history.lengths.mean(longest)
    val upper = history.lengths.quantile(UPPER_QUANTILE)
    val (output, upperOutput) = if (hint == null || history.basis != WorkBasis.HISTORY_AND_HINT) {
        mean to upper
    } else {
        history.withHint(hint, mean, upper, now)
    }
    return expectation(features, output, upperOutput)
}

/**
 * The mean and the upper quantile given [hint], from those of all lengths. Lengths and hints count as lognormal here.
 * The hint is compared with other hints of the same source, so it makes no difference if all are off by one factor.
 */
private fun WorkHistory.withHint(hint: Double, mean: Double, upper: Double, now: Moment): Pair<Double, Double> {
    val slope = hintSlope(now)
    val shift = slope * (ln(hint) - hints.logMean())
    val lowest = lengths.quantile(LOWEST_HINTED_QUANTILE)
    val highest = lengths.quantile(HIGHEST_HINTED_QUANTILE)
    val hinted = (mean * exp(shift - slope.pow(2) * hints.logVariance() / 2)).coerceIn(lowest, highest)
    val center = lengths.logMean()
    val spread = (ln(upper) - center) * sqrt(1 - explainedShare(slope))
    return hinted to exp(center + shift + spread)
}

private fun expectation(features: WorkFeatures, output: Double, upperOutput: Double): ExpectedWork {
    val tokens = output.roundToInt().coerceIn(1, features.longest)
    return ExpectedWork(features.promptTokens, tokens, upperOutput.roundToInt().coerceIn(tokens, features.longest))
}

private val WorkFeatures.longest: Int get() = maxOutputTokens.coerceAtLeast(1)
