package figdeck.command.work

import figdeck.model.Moment
import kotlin.math.floor
import kotlin.math.log2
import kotlin.math.pow
import kotlin.time.Duration.Companion.seconds

/** Buckets for each doubling of the value, so that a bucket is 9 % wide. */
internal const val BUCKETS_PER_DOUBLING = 8

/** The buckets of the smallest and of the largest value that are told apart, 2^-16 and 2^24. */
private const val FIRST_BUCKET = -16 * BUCKETS_PER_DOUBLING
private const val LAST_BUCKET = 24 * BUCKETS_PER_DOUBLING

/** The time in which observations lose half of their weight. */
internal val HALF_LIFE = 30.seconds

/** The weight of one observation after ten half-lives. Outer buckets with less are dropped. */
private const val NEGLIGIBLE_WEIGHT = 0.001
private const val HALF = 0.5

/**
 * A histogram of positive values in logarithmic buckets whose observations lose weight with time.
 *
 * @property firstBucket the bucket of the first of [weights].
 * @property weights the weights of successive buckets at [updatedAt]. An observation adds 1.
 * @property updatedAt the time of the latest observation; null before the first one.
 */
public data class DecayingHistogram(
    public val firstBucket: Int,
    public val weights: List<Double>,
    public val updatedAt: Moment?,
)

/** A histogram without observations. */
public val emptyHistogram: DecayingHistogram = DecayingHistogram(0, emptyList(), null)

/** The weight of all observations at [now]. */
public fun DecayingHistogram.totalWeight(now: Moment): Double = weights.sum() * remainingFraction(now)

/** Adds an observation of [value]. */
internal fun DecayingHistogram.observe(value: Double, now: Moment): DecayingHistogram =
    decayed(now).increment(bucketOf(value))

/**
 * Adds an observation that ended at [value] before it was whole.
 *
 * Its weight is spread over the buckets from that of [value] on, in proportion to their weights (redistribution to the
 * right, as in the estimator of Kaplan and Meier). If all observations are smaller, it counts as [value]. So it never
 * lowers the mean. It adds nothing to an empty histogram, which would otherwise learn lengths that are too small.
 */
internal fun DecayingHistogram.observeAtLeast(value: Double, now: Moment): DecayingHistogram {
    val current = decayed(now)
    val bucket = bucketOf(value)
    val above = current.weights.drop((bucket - current.firstBucket).coerceAtLeast(0)).sum()
    return when {
        current.weights.isEmpty() -> current
        above < NEGLIGIBLE_WEIGHT -> current.increment(bucket)
        else -> current.copy(
            weights = current.mapWeights { i, weight ->
                if (current.firstBucket + i >= bucket) weight * (1 + 1 / above) else weight
            },
        )
    }
}

private fun bucketOf(value: Double): Int =
    floor(log2(value) * BUCKETS_PER_DOUBLING).toInt().coerceIn(FIRST_BUCKET, LAST_BUCKET)

private fun DecayingHistogram.remainingFraction(now: Moment): Double =
    updatedAt?.let { HALF.pow(((now - it) / HALF_LIFE).coerceAtLeast(0.0)) } ?: 0.0

/** This histogram with its weights as of [now], without negligible outer buckets. */
private fun DecayingHistogram.decayed(now: Moment): DecayingHistogram {
    val fraction = remainingFraction(now)
    val scaled = mapWeights { _, weight -> weight * fraction }
    val first = scaled.indexOfFirst { it >= NEGLIGIBLE_WEIGHT }
    val last = scaled.indexOfLast { it >= NEGLIGIBLE_WEIGHT }
    return if (first < 0) {
        DecayingHistogram(0, emptyList(), now)
    } else {
        DecayingHistogram(firstBucket + first, scaled.subList(first, last + 1), now)
    }
}

private fun DecayingHistogram.increment(bucket: Int): DecayingHistogram {
    val first = if (weights.isEmpty()) bucket else minOf(firstBucket, bucket)
    val last = if (weights.isEmpty()) bucket else maxOf(firstBucket + weights.lastIndex, bucket)
    val next = DoubleArray(last - first + 1) { i ->
        val old = weights.getOrElse(first + i - firstBucket) { 0.0 }
        if (first + i == bucket) old + 1 else old
    }
    return copy(firstBucket = first, weights = next.asList())
}

/** The transformed weights, in an array of numbers, which takes less memory than a list of objects. */
private inline fun DecayingHistogram.mapWeights(transform: (Int, Double) -> Double): List<Double> =
    DoubleArray(weights.size) { transform(it, weights[it]) }.asList()
