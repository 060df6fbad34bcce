package figdeck.command.dispatch

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.Lane
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val LOAD_BOUND = 1.25
private const val PREFERRED = 2
private const val BATCH_LOAD_BOUND = 4

/** How much later a first token may come for a prompt whose prefix is read already, in place of one read anew. */
private val CACHED_PREFIX_WORTH = 10.milliseconds

/** Takes the less loaded of two views drawn at random; if work would wait at both, the best of all. */
public val twoChoices: ChoicePolicy = { views, _, draw -> lessLoadedOfTwo(views, draw) }

/**
 * Takes the upstream that rendezvous hashing prefers for the prompt's prefix while its load is bounded, so that a hot
 * prefix spreads over more of them; [twoChoices] otherwise.
 */
public val affineChoice: ChoicePolicy = { views, request, draw ->
    request.affinity?.let { preferred(views, request.lane, it) } ?: lessLoadedOfTwo(views, draw)
}

/**
 * Takes one of those with the most free slots, so that no batch work is pushed out while a slot is free elsewhere;
 * [twoChoices] when there is none.
 */
public val spareChoice: ChoicePolicy = { views, _, draw ->
    val most = views.maxOf { it.free }
    if (most > 0) views.filter { it.free == most }.random(Random(draw)) else lessLoadedOfTwo(views, draw)
}

/** Takes any view with the same probability. */
public val randomChoice: ChoicePolicy = { views, _, draw -> views[Random(draw).nextInt(views.size)] }

/**
 * Serves work that may be in time before work that can't, and work that has begun before other work, so that much of it
 * is finished rather than all of it half done. Then the team with the smallest account comes first, and within a team
 * the earliest deadline, or else the oldest.
 */
public fun fairOrder(queue: LaneQueue): Waiting = queue.waiting.minWith(
    compareBy(
        { it.request.isTardy },
        { it.request.spent == Duration.ZERO },
        { queue.shares.account(it.request.team) },
        { it.request.deadline.monotonicNanos },
    ),
)

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

private fun preferred(views: List<UpstreamView>, lane: Lane, prefix: Long): UpstreamView? {
    val ranked = views.sortedByDescending { rendezvous(prefix, it) }
    return when (lane) {
        Lane.ONLINE -> preferredOnline(ranked)
        // Batch work can wait, so it keeps to few runners and drives fewer prefixes of online work out of their caches.
        Lane.BATCH -> ranked.find { it.load < BATCH_LOAD_BOUND * it.upstream.slots }
    }
}

private fun preferredOnline(ranked: List<UpstreamView>): UpstreamView? {
    val bound = LOAD_BOUND * ranked.map { it.relativeLoad }.average()
    val latest = ranked.minOf { it.delay } + CACHED_PREFIX_WORTH
    return ranked.take(PREFERRED).find { it.delay <= latest && it.load <= bound * it.upstream.slots + 1 }
}
