package figdeck.command.work

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow

private val BUCKET_LOG_WIDTH = ln(2.0) / BUCKETS_PER_DOUBLING
private const val MIDDLE = 0.5

/** The mean of all observations, of which none counts more than [limit]. */
internal fun DecayingHistogram.mean(limit: Double): Double = average { minOf(exp(it), limit) }

/** The mean of the natural logarithms. */
internal fun DecayingHistogram.logMean(): Double = average { it }

/** The variance of the natural logarithms. */
internal fun DecayingHistogram.logVariance(): Double {
    val mean = logMean()
    return average { (it - mean).pow(2) }
}

/** The value below which the [fraction] of all observations lies; 0 if there are none. */
internal fun DecayingHistogram.quantile(fraction: Double): Double {
    var missing = weights.sum() * fraction
    var i = 0
    while (i < weights.lastIndex && weights[i] < missing) {
        missing -= weights[i]
        i++
    }
    val weight = weights.getOrElse(i) { 0.0 }
    return if (weight > 0) exp((firstBucket + i + (missing / weight).coerceIn(0.0, 1.0)) * BUCKET_LOG_WIDTH) else 0.0
}

/** The weighted average of [f] over the logarithms of all observations; 0 if there are none. */
private inline fun DecayingHistogram.average(f: (Double) -> Double): Double {
    var sum = 0.0
    var total = 0.0
    for (i in weights.indices) {
        sum += weights[i] * f((firstBucket + i + MIDDLE) * BUCKET_LOG_WIDTH)
        total += weights[i]
    }
    return if (total > 0) sum / total else 0.0
}
