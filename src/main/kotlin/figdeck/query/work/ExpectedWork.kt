package figdeck.query.work

import figdeck.command.work.WorkEstimates
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.ExpectedWork
import figdeck.model.serving.WorkFeatures

/** How much longer than the hint a long output is assumed to be while nothing is known about the hints. */
private const val HINT_MARGIN = 2

/** The work that a request with [features] of [team] is expected to cause. */
@Suppress("UNUSED_PARAMETER")
public fun expectedWork(state: WorkEstimates, features: WorkFeatures, team: TeamId?, now: Moment): ExpectedWork =
    unlearnedWork(features)

/** The expected work of a route that is not known yet: what its hint says, or half of the maximum. */
internal fun unlearnedWork(features: WorkFeatures): ExpectedWork {
    val longest = features.maxOutputTokens.coerceAtLeast(1)
    val hint = features.hintedOutputTokens?.coerceIn(1, longest)
    return ExpectedWork(
        promptTokens = features.promptTokens,
        outputTokens = hint ?: ((longest + 1) / 2),
        upperOutputTokens = hint?.let { minOf(it.toLong() * HINT_MARGIN, longest.toLong()).toInt() } ?: longest,
    )
}
