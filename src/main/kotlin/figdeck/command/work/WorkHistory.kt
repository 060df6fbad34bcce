package figdeck.command.work

import figdeck.model.Moment
import figdeck.model.serving.SlotUsage
import figdeck.model.serving.WorkFeatures
import kotlin.math.pow

/**
 * The weight of observations from which on they are used, that of eight outputs within some seconds, and the weight
 * below which they no longer are. The two values differ so that a source at the limit doesn't change from one to the
 * other with each observation.
 */
private const val MIN_WEIGHT_TO_USE = 7.5
private const val MIN_WEIGHT_TO_KEEP = 4.0

/** The share of the variance that hints must explain to be used, and to stay in use. */
private const val MIN_EXPLAINED_TO_USE = 0.15
private const val MIN_EXPLAINED_TO_KEEP = 0.05

/** The weight of ratios at which half of the slope that they show is believed. */
private const val HINT_PRIOR_WEIGHT = 16.0

/** Hints whose logarithms vary less than this, about 5 %, tell nothing about single requests. */
private const val MIN_HINT_VARIANCE = 0.0025

/** The share of whole outputs that must have had a hint. With less, lengths and ratios are of different requests. */
private const val MIN_HINTED_SHARE = 0.5

/** What an estimate of output lengths rests on. */
public enum class WorkBasis {
    /** The hint of the request itself, or half of its maximum. */
    HINT,

    /** The lengths that were seen. */
    HISTORY,

    /** The lengths that were seen, and the hint as far as it explained them. */
    HISTORY_AND_HINT,
}

/**
 * What was seen of the outputs of a route, or of a team within it.
 *
 * @property lengths the tokens of outputs.
 * @property ratios the ratio of the tokens of an output to its hint, of outputs with a hint.
 * @property hints the hinted tokens of the same outputs.
 */
public data class WorkHistory(
    public val lengths: DecayingHistogram,
    public val ratios: DecayingHistogram,
    public val hints: DecayingHistogram,
    public val basis: WorkBasis,
)

/** The history of a route or team of which nothing was seen. */
public val emptyHistory: WorkHistory = WorkHistory(emptyHistogram, emptyHistogram, emptyHistogram, WorkBasis.HINT)

/** The hint, unless it is no length. */
internal val WorkFeatures.usableHint: Int? get() = hintedOutputTokens?.takeIf { it > 0 }

/** Whether an estimate may still rest on this history at [now]. */
internal fun WorkHistory.isUsable(now: Moment): Boolean =
    basis != WorkBasis.HINT && lengths.totalWeight(now) >= MIN_WEIGHT_TO_KEEP

/**
 * Adds the output that [usage] describes. Only a whole output tells its length and how far off its hint was. One that
 * was cut tells that it was to be longer.
 */
internal fun WorkHistory.observe(features: WorkFeatures, usage: SlotUsage, now: Moment): WorkHistory {
    val tokens = usage.outputTokens.toDouble()
    val hint = features.usableHint?.toDouble()
    val next = when {
        !usage.isWhole -> copy(lengths = lengths.observeAtLeast(tokens, now))
        hint == null -> copy(lengths = lengths.observe(tokens, now))
        else -> copy(
            lengths = lengths.observe(tokens, now),
            ratios = ratios.observe(tokens / hint, now),
            hints = hints.observe(hint, now),
        )
    }
    return next.copy(basis = next.basisAt(now))
}

/**
 * By how much the logarithm of a length grows with that of its hint: 0 if hints tell nothing, 1 if all of them are off
 * by the same factor. It is the slope of a linear regression, from the identity
 * `var(length / hint) = var(length) + var(hint) - 2 cov(length, hint)` of their logarithms. It is reduced while few
 * ratios are known.
 */
internal fun WorkHistory.hintSlope(now: Moment): Double {
    val weight = ratios.totalWeight(now)
    val variance = hints.logVariance()
    val isKnown = weight >= MIN_WEIGHT_TO_KEEP && weight >= MIN_HINTED_SHARE * lengths.totalWeight(now)
    return if (isKnown && variance >= MIN_HINT_VARIANCE) {
        val slope = (lengths.logVariance() + variance - ratios.logVariance()) / (2 * variance)
        slope.coerceIn(0.0, 1.0) * weight / (weight + HINT_PRIOR_WEIGHT)
    } else {
        0.0
    }
}

/** The share of the variance of lengths, in logarithms, that hints explain with [slope]. */
internal fun WorkHistory.explainedShare(slope: Double): Double {
    val variance = lengths.logVariance()
    return if (variance > 0) (slope.pow(2) * hints.logVariance() / variance).coerceAtMost(1.0) else 0.0
}

private fun WorkHistory.basisAt(now: Moment): WorkBasis {
    val minWeight = if (basis == WorkBasis.HINT) MIN_WEIGHT_TO_USE else MIN_WEIGHT_TO_KEEP
    val minShare = if (basis == WorkBasis.HISTORY_AND_HINT) MIN_EXPLAINED_TO_KEEP else MIN_EXPLAINED_TO_USE
    return when {
        lengths.totalWeight(now) < minWeight -> WorkBasis.HINT
        explainedShare(hintSlope(now)) < minShare -> WorkBasis.HISTORY
        else -> WorkBasis.HISTORY_AND_HINT
    }
}
