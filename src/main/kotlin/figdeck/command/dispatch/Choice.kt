package figdeck.command.dispatch

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.model.Lane
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val ONLINE_LOAD_BOUND = 1.25
private const val PREFERRED_UPSTREAMS = 2
private const val BATCH_LOAD_PER_SLOT_BOUND = 4

/** How much later a first token may come for a prompt whose prefix is read already, in place of one read anew. */
private val CACHED_PREFIX_TIME_SAVED = 10.milliseconds

/** Takes the less loaded of two views drawn at random; if work would wait at both, the best of all. */
public val powerOfTwoChoices: ChoicePolicy = { views, _, seed -> lessLoadedOfTwo(views, seed) }

/**
 * Takes the upstream that rendezvous hashing prefers for the prompt's prefix while its load is bounded, so that a hot
 * prefix spreads over more of them; [powerOfTwoChoices] otherwise.
 */
public val prefixAffinityChoice: ChoicePolicy = { views, request, seed ->
    request.affinity?.let { findAffine(views, request.lane, it) } ?: lessLoadedOfTwo(views, seed)
}

/**
 * Takes one of those with the most free slots, so that no batch work is pushed out while a slot is free elsewhere;
 * [powerOfTwoChoices] when there is none.
 */
public val mostFreeSlotsChoice: ChoicePolicy = { views, _, seed ->
    val maxFree = views.maxOf { it.free }
    if (maxFree > 0) views.filter { it.free == maxFree }.random(Random(seed)) else lessLoadedOfTwo(views, seed)
}

/** Takes any view with the same probability. */
public val randomChoice: ChoicePolicy = { views, _, seed -> views[Random(seed).nextInt(views.size)] }

/**
 * Serves work that may be in time before work that can't, and work that has begun before other work, so that much of it
 * is finished rather than all of it half done. Then the team with the smallest account comes first, and within a team
 * the earliest deadline, or else the oldest.
 */
public fun fairShareOrder(queue: LaneQueue): QueuedRequest = queue.waiting.minWith(
    compareBy(
        { it.request.isTardy },
        { it.request.slotTimeUsed == Duration.ZERO },
        { queue.shares.startTag(it.request.team) },
        { it.request.deadline.monotonicNanos },
    ),
)

/** Serves the oldest, whoever it belongs to. */
public fun fifoOrder(queue: LaneQueue): QueuedRequest = queue.waiting.first()

private val UpstreamView.relativeLoad: Double get() = load / upstream.slots

private fun rendezvousScore(prefix: Long, view: UpstreamView): Long =
    Hashing.komihash5_0(prefix).hashCharsToLong(view.upstream.id.value)

private fun lessLoadedOfTwo(views: List<UpstreamView>, seed: Long): UpstreamView {
    val shortestDelay = views.minOf { it.delay }
    val nearest = views.filter { it.delay <= shortestDelay }
    val random = Random(seed)
    val drawn = listOf(nearest[random.nextInt(nearest.size)], nearest[random.nextInt(nearest.size)])
    val best = drawn.minBy { it.relativeLoad }
    return if (best.delay > Duration.ZERO) nearest.minBy { it.relativeLoad } else best
}

private fun findAffine(views: List<UpstreamView>, lane: Lane, prefix: Long): UpstreamView? {
    val ranked = views.sortedByDescending { rendezvousScore(prefix, it) }
    return when (lane) {
        Lane.ONLINE -> findAffineOnline(ranked)
        // Batch work can wait, so it keeps to few runners and drives fewer prefixes of online work out of their caches.
        Lane.BATCH -> ranked.find { it.load < BATCH_LOAD_PER_SLOT_BOUND * it.upstream.slots }
    }
}

private fun findAffineOnline(ranked: List<UpstreamView>): UpstreamView? {
    val bound = ONLINE_LOAD_BOUND * ranked.map { it.relativeLoad }.average()
    val maxDelay = ranked.minOf { it.delay } + CACHED_PREFIX_TIME_SAVED
    return ranked
        .take(PREFERRED_UPSTREAMS)
        .find { it.delay <= maxDelay && it.load <= bound * it.upstream.slots + 1 }
}
