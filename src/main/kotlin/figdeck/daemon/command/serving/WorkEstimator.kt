package figdeck.daemon.command.serving

import figdeck.command.work.HALF_LIFE
import figdeck.command.work.hintSlope
import figdeck.command.work.logVariance
import figdeck.command.work.mean
import figdeck.command.work.quantile
import figdeck.command.work.totalWeight
import figdeck.control.Control
import figdeck.control.serving.BasisChange
import figdeck.control.serving.ServingState
import figdeck.control.serving.learnWork
import figdeck.log.DecisionLog
import figdeck.model.Clock
import figdeck.model.Moment
import figdeck.model.serving.ExpectedWork
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotUsage
import figdeck.query.work.expectedWork
import kotlin.math.sqrt

private const val MEDIAN = 0.5
private const val PERCENT = 100

/**
 * Estimates the work of requests for slots that this host grants, and learns from the usage of the slots.
 *
 * @param recordError receives, for each whole output, its route and its tokens divided by the expected ones.
 */
internal class WorkEstimator(
    private val control: Control<ServingState>,
    private val clock: Clock,
    private val recordError: (route: String, ratio: Double) -> Unit,
    private val log: DecisionLog,
) {
    /** The expected work of [request]; null if it tells nothing about its work. */
    fun estimate(request: SlotRequest): ExpectedWork? =
        request.features?.let { expectedWork(control.snapshot.work, it, request.team, clock()) }

    /** Learns from the [usage] of a slot that [request] held, which was [expected] to cause some work. */
    suspend fun learn(request: SlotRequest, expected: ExpectedWork?, usage: SlotUsage?) {
        val features = request.features
        if (features != null && usage != null) {
            if (expected != null && usage.isWhole) {
                recordError(features.route, usage.outputTokens.toDouble() / expected.outputTokens)
            }
            val changed = control.run { state, now -> learnWork(state, features, request.team, usage, now) }
            changed?.let { logBasis(features.route, it, clock()) }
        }
    }

    private fun logBasis(route: String, change: BasisChange, now: Moment) = log.note("work_basis", route) {
        val history = change.history
        put("basis", history.basis.name.lowercase())
        put("before", change.before.basis.name.lowercase())
        change.before.lengths.updatedAt?.let { put("since_output_before_ms", (now - it).inWholeMilliseconds) }
        put("outputs", history.lengths.totalWeight(now).toLong())
        put("mean_tokens", history.lengths.mean(Double.MAX_VALUE).toLong())
        put("hinted_outputs", history.ratios.totalWeight(now).toLong())
        put("median_ratio_to_hint_percent", history.ratios.quantile(MEDIAN).toPercent())
        put("log_spread_of_lengths_percent", sqrt(history.lengths.logVariance()).toPercent())
        put("log_spread_of_ratios_percent", sqrt(history.ratios.logVariance()).toPercent())
        put("hint_slope_percent", history.hintSlope(now).toPercent())
        put("half_life_ms", HALF_LIFE.inWholeMilliseconds)
    }
}

private fun Double.toPercent(): Long = (this * PERCENT).toLong()
