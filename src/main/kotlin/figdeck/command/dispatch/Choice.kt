package figdeck.command.dispatch

import com.dynatrace.hash4j.hashing.Hashing
import kotlin.random.Random
import kotlin.time.Duration

private const val LOAD_BOUND = 1.25
private const val PREFERRED = 2

/** Takes the less loaded of two views drawn at random; if work would wait at both, the best of all. */
public val twoChoices: ChoicePolicy = { views, _, draw -> lessLoadedOfTwo(views, draw) }

/**
 * Takes the upstream that rendezvous hashing prefers for the prompt's prefix while its load is bounded, so that a hot
 * prefix spreads over more of them; [twoChoices] otherwise.
 */
public val affineChoice: ChoicePolicy = { views, request, draw ->
    request.affinity?.let { preferred(views, it) } ?: lessLoadedOfTwo(views, draw)
}

/** Takes any view with the same probability. */
public val randomChoice: ChoicePolicy = { views, _, draw -> views[Random(draw).nextInt(views.size)] }

/** Serves the team with the smallest account, and within a team the oldest. */
public fun fairOrder(queue: LaneQueue): Waiting = queue.waiting.minBy { queue.shares.account(it.request.team) }

/** Serves the oldest, whoever it belongs to. */
public fun arrivalOrder(queue: LaneQueue): Waiting = queue.waiting.first()

private val UpstreamView.relativeLoad: Double get() = load / upstream.slots

private fun rendezvous(prefix: Long, view: UpstreamView): Long =
    Hashing.komihash5_0(prefix).hashCharsToLong(view.upstream.id.value)

private fun lessLoadedOfTwo(views: List<UpstreamView>, draw: Long): UpstreamView {
    val shortest = views.minOf { it.delay }
    val near = views.filter { it.delay <= shortest }
    val random = Random(draw)
    val drawn = listOf(near[random.nextInt(near.size)], near[random.nextInt(near.size)])
    val best = drawn.minBy { it.relativeLoad }
    return if (best.delay > Duration.ZERO) near.minBy { it.relativeLoad } else best
}

private fun preferred(views: List<UpstreamView>, prefix: Long): UpstreamView? {
    val bound = LOAD_BOUND * views.map { it.relativeLoad }.average()
    val shortest = views.minOf { it.delay }
    return views.sortedByDescending { rendezvous(prefix, it) }
        .take(PREFERRED)
        .find { it.delay <= shortest && it.load <= bound * it.upstream.slots + 1 }
}
